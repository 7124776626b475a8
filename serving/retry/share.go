package retry

import "time"

// noticeTime is how long instances may take to learn of a new one: they report to each other every second, and a report may
// be lost.
const noticeTime = 3 * time.Second

// Share divides the slack that all instances have together among those that are alive, so that together they keep it in each
// window while instances start, stop and die. It is for one goroutine.
type Share struct {
	window  time.Duration
	started time.Time
	// counts are how many instances were alive in the last window, by when it was seen.
	counts []count
}

type count struct {
	at    time.Time
	alive int
}

// NewShare returns the share of an instance that starts now.
func NewShare(window time.Duration, now time.Time) *Share {
	return &Share{window: window, started: now}
}

// Slack returns this instance's part of the slack of all, given how many instances are alive with this one. It is nothing until the others
// have known of a new instance for a window: it may have spent a part before it was restarted, and they a larger one. It grows
// only a window after others have gone, as what they spent counts for as long.
func (s *Share) Slack(slack float64, now time.Time, alive int) float64 {
	kept := s.counts[:0]
	most := max(alive, 1)
	for _, c := range s.counts {
		if now.Sub(c.at) <= s.window+s.window/buckets {
			kept = append(kept, c)
			most = max(most, c.alive)
		}
	}
	s.counts = append(kept, count{at: now, alive: alive})
	if now.Sub(s.started) < noticeTime+s.window+s.window/buckets {
		return 0
	}
	return slack / float64(most)
}

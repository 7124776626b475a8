package retry

import "time"

// discoveryTime is how long instances may take to learn of a new one: they report to each other every second, and a report may be
// lost.
const discoveryTime = 3 * time.Second

// SlackShare computes an instance's share of the slack that is common to all instances. It divides the slack by the number of live
// instances such that all shares together stay within the slack in every window, also while instances start, stop and crash. It
// is not safe for concurrent use.
type SlackShare struct {
	window  time.Duration
	started time.Time
	// counts holds the numbers of live instances that were observed in the last window and one bucket.
	counts []liveCount
}

// liveCount is the number of instances that were alive at a time.
type liveCount struct {
	at    time.Time
	alive int
}

// NewSlackShare returns the share of an instance that starts now.
func NewSlackShare(window time.Duration, now time.Time) *SlackShare {
	return &SlackShare{window: window, started: now}
}

// Slack returns this instance's share of the slack, given how many instances are alive including this one. The share is 0 until
// the other instances have counted this one for a window: it may have spent a share before it was restarted, and the others may
// have spent larger shares while they did not count it. The share grows only a window after other instances have gone, because
// the retries that they made count for as long.
func (s *SlackShare) Slack(slack float64, now time.Time, alive int) float64 {
	recent := s.counts[:0]
	maxAlive := max(alive, 1)
	for _, c := range s.counts {
		if now.Sub(c.at) <= s.window+s.window/buckets {
			recent = append(recent, c)
			maxAlive = max(maxAlive, c.alive)
		}
	}
	s.counts = append(recent, liveCount{at: now, alive: alive})
	if now.Sub(s.started) < discoveryTime+s.window+s.window/buckets {
		return 0
	}
	return slack / float64(maxAlive)
}

package membership

import "time"

// Bounds of how many instances check a lease that another holds.
const (
	// standbys is how many instances watch a lease all the while, though its holder reports: a holder that is cut off from the
	// store may still reach its peers. Two bear the loss of one.
	standbys = 2
	// standbyEvery is how often they check it: as often as a holder renews.
	standbyEvery = time.Second
	// challengers is how many more instances check it with each challengeEvery in which the holder does not report. Were it all of
	// them, each change of holders would cost a large deployment hundreds of calls.
	challengers    = 4
	challengeEvery = 500 * time.Millisecond
	// challengeAgain is how long after a check failed an instance that is no standby checks again: the store may be down for all.
	challengeAgain = 3 * time.Second
)

// Standby decides when an instance that does not hold a lease checks it. It is for one goroutine.
type Standby struct {
	// missingSince is since when no holder reports, checked when the instance checked the lease last.
	missingSince, checked time.Time
	// failed is when a check failed last.
	failed time.Time
}

// Failed notes that a check had no answer.
func (s *Standby) Failed(now time.Time) {
	s.failed = now
}

// Due tells whether the instance checks the lease now. Its place is how many instances come before it in an order that all share;
// heard tells whether a holder reports.
func (s *Standby) Due(place int, heard bool, now time.Time) bool {
	if !s.turn(place, heard, now) {
		return false
	}
	s.checked = now
	return true
}

func (s *Standby) turn(place int, heard bool, now time.Time) bool {
	if heard {
		s.missingSince = time.Time{}
		return place < standbys && now.Sub(s.checked) >= standbyEvery
	}
	if s.missingSince.IsZero() {
		s.missingSince = now
	}
	if place < standbys {
		return true
	}
	return now.Sub(s.missingSince) >= time.Duration(place/challengers)*challengeEvery && now.Sub(s.failed) >= challengeAgain
}

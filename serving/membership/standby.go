package membership

import "time"

// Bounds of how many instances look at a lease that another holds.
const (
	// standbys is how many instances watch a lease all the while, though its holder reports: a holder that is cut off from the
	// store may still reach its peers. Two bear the loss of one.
	standbys = 2
	// StandbyEvery is how often they look: as often as a holder renews.
	StandbyEvery = time.Second
	// challengers is how many more instances look with each challengeEvery that the holder is silent. Were it all of them, each
	// change of holders would cost a large deployment hundreds of calls.
	challengers    = 4
	challengeEvery = 500 * time.Millisecond
	// challengeAgain is how long after a failed look an instance that is no standby looks again: the store may be away for all.
	challengeAgain = 3 * time.Second
)

// Standby decides when an instance that does not hold a lease looks at it. It is for one goroutine.
type Standby struct {
	// unheard is since when no holder reports, looked when the instance looked last.
	unheard, looked time.Time
	// failed is when a look failed last.
	failed time.Time
}

// Failed notes that a look had no answer.
func (s *Standby) Failed(now time.Time) {
	s.failed = now
}

// Looks tells whether the instance looks at the lease now. Its place is how many instances come before it in an order that all
// share; heard tells whether a holder reports.
func (s *Standby) Looks(place int, heard bool, now time.Time) bool {
	if !s.turn(place, heard, now) {
		return false
	}
	s.looked = now
	return true
}

func (s *Standby) turn(place int, heard bool, now time.Time) bool {
	if heard {
		s.unheard = time.Time{}
		return place < standbys && now.Sub(s.looked) >= StandbyEvery
	}
	if s.unheard.IsZero() {
		s.unheard = now
	}
	if place < standbys {
		return true
	}
	return now.Sub(s.unheard) >= time.Duration(place/challengers)*challengeEvery && now.Sub(s.failed) >= challengeAgain
}

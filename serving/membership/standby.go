package membership

import "time"

// Bounds of how many instances check a lease that another one holds, and how often.
const (
	// standbys is how many instances check a lease even while its holder reports to its peers, because a holder that is cut off from
	// the store may still reach its peers. With two, one may fail.
	standbys = 2
	// standbyInterval is how often standbys check the lease: as often as a holder renews it.
	standbyInterval = time.Second
	// While the holder does not report, challengersPerInterval more instances check the lease after each challengeInterval. If all of
	// them did at once, each change of the holder would cost a large deployment hundreds of calls.
	challengersPerInterval = 4
	challengeInterval      = 500 * time.Millisecond
	// challengeRetryDelay is how long an instance that is not a standby waits after a failed check: the store may be down for all.
	challengeRetryDelay = 3 * time.Second
)

// Standby decides when an instance that does not hold a lease checks whether it can acquire it. It is not safe for concurrent use.
type Standby struct {
	// silentSince is when the holder was first found not to report, zero while it reports.
	silentSince time.Time
	// lastCheck is when Due last returned true.
	lastCheck time.Time
	// lastFailure is when a check last failed.
	lastFailure time.Time
}

// MarkFailed records that a check of the lease failed, for example because the store did not answer.
func (s *Standby) MarkFailed(now time.Time) {
	s.lastFailure = now
}

// Due reports whether the instance should check the lease now. The rank is the instance's position, from 0, in an order on which
// all instances agree; holderReports is whether the holder of the lease reports to its peers.
func (s *Standby) Due(rank int, holderReports bool, now time.Time) bool {
	if !s.due(rank, holderReports, now) {
		return false
	}
	s.lastCheck = now
	return true
}

func (s *Standby) due(rank int, holderReports bool, now time.Time) bool {
	if holderReports {
		s.silentSince = time.Time{}
		return rank < standbys && now.Sub(s.lastCheck) >= standbyInterval
	}
	if s.silentSince.IsZero() {
		s.silentSince = now
	}
	if rank < standbys {
		return true
	}
	return now.Sub(s.silentSince) >= time.Duration(rank/challengersPerInterval)*challengeInterval && now.Sub(s.lastFailure) >= challengeRetryDelay
}

package queue

import "time"

const (
	// rateWindow is the busy time over which a workspace's rate is measured.
	rateWindow = 10 * time.Second
	// minBusyTime and minGrants are the least busy time and number of grants from which a wait is computed.
	minBusyTime = time.Second
	minGrants   = 2
)

// rate measures the service that a workspace receives per unit of busy time, which is the time during which it has waiting
// requests. Once the busy time exceeds rateWindow all figures are halved, so that older service counts less and less.
type rate struct {
	updatedAt time.Time
	served    Service
	busy      time.Duration
	grants    float64
}

// advance moves the measurement on to now. The time since the last call counts as busy if requests were waiting. It halves the
// figures before it adds that time, while busy time and service cover the same period.
func (r *rate) advance(now time.Time, waiting bool) {
	if r.busy > rateWindow {
		r.busy /= 2
		r.served /= 2
		r.grants /= 2
	}
	if waiting && !r.updatedAt.IsZero() {
		r.busy += max(now.Sub(r.updatedAt), 0)
	}
	r.updatedAt = now
}

// record adds the service granted to a request that waited.
func (r *rate) record(amount Service) {
	r.served += amount
	r.grants++
}

// expectedWait returns how long an amount of service takes at the measured rate, or false if too little was measured.
func (r *rate) expectedWait(amount Service) (time.Duration, bool) {
	if r.busy < minBusyTime || r.grants < minGrants || r.served <= 0 {
		return 0, false
	}
	seconds := float64(amount) / float64(r.served) * r.busy.Seconds()
	return time.Duration(min(seconds, maxExpectedWait.Seconds()) * float64(time.Second)), true
}

// maxExpectedWait bounds a computed wait.
const maxExpectedWait = time.Hour

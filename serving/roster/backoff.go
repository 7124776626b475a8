package roster

import (
	"sync/atomic"
	"time"
)

// Bounds of the pause after an endpoint failed. It doubles from a tenth of the time that an endpoint is typically down after a
// crash to about all of that time.
const (
	initialPause = 250 * time.Millisecond
	maxPause     = 4 * time.Second
	maxDoublings = 4
)

// backoff is the exponential back-off of an endpoint that failed or rejected a request.
type backoff struct {
	// retryAt is the end of the pause in Unix nanoseconds.
	retryAt atomic.Int64
	// failures is the number of pauses since the endpoint last worked.
	failures atomic.Int64
}

func (b *backoff) paused(now time.Time) bool {
	return now.UnixNano() < b.retryAt.Load()
}

// begin starts a pause, twice as long as the one before up to maxPause, and returns its length. It returns 0 and changes nothing
// if the endpoint is paused already: a request that fails then was sent before the pause began.
func (b *backoff) begin(now time.Time) time.Duration {
	if b.paused(now) {
		return 0
	}
	n := min(b.failures.Add(1)-1, maxDoublings)
	pause := min(initialPause<<n, maxPause)
	b.retryAt.Store(now.Add(pause).UnixNano())
	return pause
}

// reset ends the pause and reports whether the endpoint had failed or rejected a request since the last reset.
func (b *backoff) reset() bool {
	if b.failures.Load() == 0 {
		return false
	}
	b.failures.Store(0)
	b.retryAt.Store(0)
	return true
}

package roster

import (
	"sync/atomic"
	"time"
)

// Bounds of the pause after an endpoint failed: from a tenth of a typical crash to about its whole length.
const (
	pauseAtFirst = 250 * time.Millisecond
	pauseAtMost  = 4 * time.Second
	maxDoublings = 4
)

// failure is the pause of an endpoint that failed.
type failure struct {
	// retryAt is in Unix nanoseconds.
	retryAt atomic.Int64
	count   atomic.Int64
}

func (f *failure) paused(now time.Time) bool {
	return now.UnixNano() < f.retryAt.Load()
}

// failed doubles the pause and returns it. Requests that fail while the endpoint is paused began before and do not count: these
// return 0.
func (f *failure) failed(now time.Time) time.Duration {
	if f.paused(now) {
		return 0
	}
	n := min(f.count.Add(1)-1, maxDoublings)
	pause := min(pauseAtFirst<<n, pauseAtMost)
	f.retryAt.Store(now.Add(pause).UnixNano())
	return pause
}

// worked ends the pause and tells whether the endpoint had failed before.
func (f *failure) worked() bool {
	if f.count.Load() == 0 {
		return false
	}
	f.count.Store(0)
	f.retryAt.Store(0)
	return true
}

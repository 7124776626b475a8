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

// failed doubles the pause. Requests that fail while the endpoint is paused began before and do not count.
func (f *failure) failed(now time.Time) {
	if f.paused(now) {
		return
	}
	n := min(f.count.Add(1)-1, maxDoublings)
	f.retryAt.Store(now.Add(min(pauseAtFirst<<n, pauseAtMost)).UnixNano())
}

func (f *failure) worked() {
	if f.count.Load() != 0 {
		f.count.Store(0)
		f.retryAt.Store(0)
	}
}

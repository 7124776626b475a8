// Package truetime provides a time that all instances agree on, even if the wall clocks of some of them jump.
//
// It is based on the store's monotonic clock, which is the same for all instances. A row in the store, the base, says how many
// milliseconds after the start of 1970 (UTC) that clock read zero. The instance that writes the row first computes this from its
// own wall clock, and all instances use it.
package truetime

import (
	"sync"
	"time"
)

// Clock provides the agreed time. It is safe for concurrent use.
type Clock struct {
	// monotonic is this machine's monotonic clock, which also advances while the machine is suspended.
	monotonic func() time.Duration
	// wall is this machine's wall clock. It is used until the agreed time is known.
	wall func() time.Time

	mu sync.Mutex
	// base is when the store's clock read zero; it is valid if baseSet is true.
	base    time.Time
	baseSet bool
	// When the last reading was accepted, the store's clock read storeRead and the monotonic clock localRead. Both are valid if
	// observed is true.
	observed  bool
	storeRead time.Duration
	localRead time.Duration
}

// New returns a Clock that shows the wall clock until it has observed the store's clock and its base is set.
func New(monotonic func() time.Duration, wall func() time.Time) *Clock {
	return &Clock{monotonic: monotonic, wall: wall}
}

// Observe records a reading of the store's monotonic clock that has just been received. It ignores one that was delayed in
// transit.
func (c *Clock) Observe(reading time.Duration) {
	local := c.monotonic()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.observed && reading-c.storeRead < local-c.localRead-maxDelay {
		return
	}
	c.storeRead, c.localRead, c.observed = reading, local, true
}

// maxDelay is how far a reading may be behind the one that is expected from the last accepted reading and this machine's monotonic
// clock. Readings that are further behind were delayed in transit.
const maxDelay = 20 * time.Millisecond

// SetBase sets the time at which the store's monotonic clock read zero.
func (c *Clock) SetBase(base time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.base, c.baseSet = base, true
}

// Guess returns the time at which the store's monotonic clock read zero, according to this machine's wall clock. It returns false
// if the store's clock has not been observed.
func (c *Clock) Guess() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.observed {
		return time.Time{}, false
	}
	return c.wall().Add(-c.storeNow()), true
}

// Agreed reports whether Now returns the agreed time rather than this machine's wall clock.
func (c *Clock) Agreed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.baseSet && c.observed
}

// Now returns the agreed time, or this machine's wall clock while the agreed time is not known.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.baseSet || !c.observed {
		return c.wall()
	}
	return c.base.Add(c.storeNow())
}

// storeNow estimates the present reading of the store's monotonic clock.
func (c *Clock) storeNow() time.Duration {
	return c.storeRead + c.monotonic() - c.localRead
}

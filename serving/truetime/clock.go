// Package truetime tells the time that all instances agree on, though the time of day of some of them jumps.
//
// The store's steady clock is the same for all. One row of the store says how far it is from the start of 1970; its first
// writer takes that from its own time of day, and all instances keep to it.
package truetime

import (
	"sync"
	"time"
)

// Clock is the agreed time. It is safe for concurrent use.
type Clock struct {
	// steady counts the time of this machine, suspended or not.
	steady func() time.Duration
	// wall is the time of day, for as long as nothing better is known.
	wall func() time.Time

	mu       sync.Mutex
	base     time.Time
	known    bool
	observed bool
	store    time.Duration
	at       time.Duration
}

// New returns a clock that tells the time of day until it has observed the store and its base.
func New(steady func() time.Duration, wall func() time.Time) *Clock {
	return &Clock{steady: steady, wall: wall}
}

// Observe notes that the store's steady clock has just read store.
func (c *Clock) Observe(store time.Duration) {
	at := c.steady()
	c.mu.Lock()
	defer c.mu.Unlock()
	// An answer that was held up on its way shows a clock that is behind.
	if c.observed && store-c.store < at-c.at-maxDelay {
		return
	}
	c.store, c.at, c.observed = store, at, true
}

// maxDelay is how far an observation may be behind the one before, by this machine's steady clock.
const maxDelay = 20 * time.Millisecond

// SetBase sets when the store's steady clock read zero.
func (c *Clock) SetBase(base time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.base, c.known = base, true
}

// Guess returns when the store's steady clock read zero, by this machine's time of day. It is false until the store was
// observed.
func (c *Clock) Guess() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.observed {
		return time.Time{}, false
	}
	return c.wall().Add(-c.storeNow()), true
}

// Agreed tells whether Now is the agreed time and not this machine's.
func (c *Clock) Agreed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known && c.observed
}

// Now returns the agreed time, or the time of day while it is not known.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known || !c.observed {
		return c.wall()
	}
	return c.base.Add(c.storeNow())
}

func (c *Clock) storeNow() time.Duration {
	return c.store + c.steady() - c.at
}

package lease

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// Clock reads the two clocks of a process. Neither is reliable alone: the monotonic clock may stop while the machine is
// suspended, and the wall clock may be set.
type Clock interface {
	// Monotonic returns the time since a fixed point in the life of this process.
	Monotonic() time.Duration
	// Wall returns the time of day.
	Wall() time.Time
}

// SystemClock implements Clock with a clockwork.Clock.
type SystemClock struct {
	clock clockwork.Clock
	start time.Time
}

var _ Clock = (*SystemClock)(nil)

// NewSystemClock returns a SystemClock whose monotonic time starts at zero.
func NewSystemClock(clock clockwork.Clock) *SystemClock {
	return &SystemClock{clock: clock, start: clock.Now()}
}

// Monotonic returns the time since NewSystemClock was called.
func (c *SystemClock) Monotonic() time.Duration {
	return c.clock.Since(c.start)
}

// Wall returns the time of day without its monotonic reading.
func (c *SystemClock) Wall() time.Time {
	return c.clock.Now().Round(0)
}

// clockReading is one reading of both clocks.
type clockReading struct {
	monotonic time.Duration
	wall      time.Time
}

func readClocks(c Clock) clockReading {
	return clockReading{monotonic: c.Monotonic(), wall: c.Wall()}
}

// elapsedSince returns the time since an earlier reading, by the clock that advanced further.
func (r clockReading) elapsedSince(earlier clockReading) time.Duration {
	return max(r.monotonic-earlier.monotonic, r.wall.Sub(earlier.wall))
}

// leastSince returns the time since an earlier reading, by the clock that advanced less.
func (r clockReading) leastSince(earlier clockReading) time.Duration {
	return min(r.monotonic-earlier.monotonic, r.wall.Sub(earlier.wall))
}

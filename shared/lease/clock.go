package lease

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// Clock reads the two clocks of a process. The monotonic one may stand still while the machine is suspended, the wall
// clock may be set.
type Clock interface {
	// Monotonic returns the time since a fixed point of this process's life.
	Monotonic() time.Duration
	// Wall returns the time of day.
	Wall() time.Time
}

// SystemClock reads both clocks of a clockwork clock.
type SystemClock struct {
	clock clockwork.Clock
	start time.Time
}

var _ Clock = (*SystemClock)(nil)

// NewSystemClock returns a clock whose monotonic time starts now.
func NewSystemClock(clock clockwork.Clock) *SystemClock {
	return &SystemClock{clock: clock, start: clock.Now()}
}

// Monotonic returns the time since the clock was made.
func (c *SystemClock) Monotonic() time.Duration {
	return c.clock.Since(c.start)
}

// Wall returns the time of day without its monotonic reading.
func (c *SystemClock) Wall() time.Time {
	return c.clock.Now().Round(0)
}

// instant is one reading of both clocks.
type instant struct {
	monotonic time.Duration
	wall      time.Time
}

func read(c Clock) instant {
	return instant{monotonic: c.Monotonic(), wall: c.Wall()}
}

// since returns the longer of the times that both clocks counted since an earlier instant.
func (i instant) since(earlier instant) time.Duration {
	return max(i.monotonic-earlier.monotonic, i.wall.Sub(earlier.wall))
}

package metering

import "time"

// Bounds limit how long a window waits for instances that have not written its counts.
type Bounds struct {
	// FreezeDelay is how long after its end a window is frozen even if counts may be missing.
	FreezeDelay time.Duration
	// GoneTimeout is how long after its last write an instance counts as gone, so that no window waits for it.
	GoneTimeout time.Duration
}

// Option configures a Reporter.
type Option func(*Reporter)

// WithLate sets a function that is called with counts that were written after their window was frozen, so that they can be billed
// manually.
func WithLate(late func(w Window, counts Counts)) Option {
	return func(r *Reporter) {
		r.late = late
	}
}

// WithMalformed sets a function that is called with each row, at each read of it, that cannot be used. Such rows count nothing.
func WithMalformed(malformed func(table, key string, err error)) Option {
	return func(r *Reporter) {
		r.malformed = malformed
	}
}

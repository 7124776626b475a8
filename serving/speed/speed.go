// Package speed learns how fast engines prefill prompts from the prefills that instances see.
package speed

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// window is how many of the newest samples an estimate is made from.
	window = 24
	// minSamples is the number of samples below which there is no estimate.
	minSamples = 6
	// quantile is the fraction of the samples that are slower than the estimate. A prefill that waited behind prompts of which its instance
	// had no report yet looks slow, so the estimate lies above the median.
	quantile = 0.8
	// minFactor and maxFactor bound samples and estimates, as multiples of the prior.
	minFactor = 1.0 / 8
	maxFactor = 8.0
	// minChange is the least ratio of a new estimate to the published one, or its inverse, at which the new one is published. The order of
	// the engines for a prompt depends on published estimates only, so that it does not change with each sample.
	minChange = 1.2
	// lifetime is how long an estimate holds after its last sample.
	lifetime = 5 * time.Minute
)

// Estimate is the estimated speed of one engine as a multiple of the prior of its kind. The zero value has no samples. It is safe for
// concurrent use, and Factor takes no lock.
type Estimate struct {
	// published holds the bits of the published estimate, 0 for none; last is when the last sample came, in Unix nanoseconds.
	published atomic.Uint64
	last      atomic.Int64

	mu      sync.Mutex
	samples [window]float64
	n       int
}

// Factor returns the estimate, or 1 if there is none.
func (e *Estimate) Factor(now time.Time) float64 {
	bits := e.published.Load()
	if bits == 0 || now.UnixNano()-e.last.Load() > int64(lifetime) {
		return 1
	}
	return math.Float64frombits(bits)
}

// Known reports whether there is an estimate.
func (e *Estimate) Known(now time.Time) bool {
	return e.published.Load() != 0 && now.UnixNano()-e.last.Load() <= int64(lifetime)
}

// Age returns the time since the last sample, or 0 if there is none.
func (e *Estimate) Age(now time.Time) time.Duration {
	if e.last.Load() == 0 {
		return 0
	}
	return time.Duration(now.UnixNano() - e.last.Load())
}

// Observe adds a sample and reports whether the published estimate has changed. Samples that are no positive number are ignored, others are
// bounded.
func (e *Estimate) Observe(factor float64, now time.Time) (changed bool) {
	if math.IsNaN(factor) || factor <= 0 {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if last := e.last.Load(); last != 0 && now.UnixNano()-last > int64(lifetime) {
		e.n = 0
		e.published.Store(0)
	}
	e.last.Store(now.UnixNano())
	e.samples[e.n%window] = min(max(factor, minFactor), maxFactor)
	e.n++
	if e.n < minSamples {
		return false
	}
	sorted := e.samples
	list := sorted[:min(e.n, window)]
	slices.Sort(list)
	estimate := list[int(quantile*float64(len(list)))]
	published := math.Float64frombits(e.published.Load())
	if published != 0 && estimate < published*minChange && estimate > published/minChange {
		return false
	}
	e.published.Store(math.Float64bits(estimate))
	return true
}

// Package endpoint keeps what an entry knows of the endpoints of its failure domain and chooses among them.
package endpoint

import (
	"sync/atomic"
	"time"

	"cowslipshunt.example/wire"
)

// Endpoint is one endpoint with this entry's own requests in flight there. It outlives the views that list it.
type Endpoint struct {
	state    atomic.Pointer[wire.EndpointState]
	limit    atomic.Int64
	inFlight atomic.Int64
	drains   atomic.Int64
	closed   atomic.Bool
	// retryAt is when a failed endpoint may be tried again, in Unix nanoseconds.
	retryAt  atomic.Int64
	failures atomic.Int64
	// prefill is the tokens that this entry's requests still wait to have prefilled.
	prefill atomic.Int64
	memory  memory
}

// maxPrefill bounds the tokens that this entry's requests wait to have prefilled at one endpoint. What is beyond waits in
// the queue, where its order counts.
const maxPrefill = 4096

// Bounds of the pause after an endpoint failed.
const (
	pauseAtFirst = 250 * time.Millisecond
	pauseAtMost  = 4 * time.Second
	maxDoublings = 6
)

// State returns the newest state from the holder of the domain's lease.
func (e *Endpoint) State() wire.EndpointState {
	return *e.state.Load()
}

// InFlight counts this entry's requests at the endpoint.
func (e *Endpoint) InFlight() int {
	return int(e.inFlight.Load())
}

// usable tells whether new work may go to the endpoint.
func (e *Endpoint) usable() bool {
	return !e.closed.Load() && e.drains.Load() == 0 && e.state.Load().Phase == wire.EndpointPhaseReady
}

// acquire takes one of the endpoint's slots. The count rises before the check, so a drain that sees no request in flight
// cannot be followed by a new one.
func (e *Endpoint) acquire() bool {
	n := e.inFlight.Add(1)
	if n <= e.room() && e.usable() {
		return true
	}
	e.inFlight.Add(-1)
	return false
}

// takesPrefill tells whether a request with so much left to prefill may go to the endpoint now. One that nothing is waited
// for takes any.
func (e *Endpoint) takesPrefill(tokens int) bool {
	waited := e.prefill.Load()
	return waited == 0 || waited+int64(tokens) <= maxPrefill
}

// room is how many requests may be in flight: one, as a probe, after a failure.
func (e *Endpoint) room() int64 {
	if e.failures.Load() > 0 {
		return 1
	}
	return e.limit.Load()
}

// Failed notes that the endpoint failed at now and pauses it, longer each time. Its prefix cache counts as lost. Requests
// that fail while it is paused do not make the pause longer: they began before it.
func (e *Endpoint) Failed(now time.Time) {
	if e.paused(now) {
		return
	}
	n := min(e.failures.Add(1)-1, maxDoublings)
	pause := min(pauseAtFirst<<n, pauseAtMost)
	e.retryAt.Store(now.Add(pause).UnixNano())
	e.memory.forget()
}

// Worked notes that the endpoint answered.
func (e *Endpoint) Worked() {
	if e.failures.Load() != 0 {
		e.failures.Store(0)
		e.retryAt.Store(0)
	}
}

func (e *Endpoint) paused(now time.Time) bool {
	return now.UnixNano() < e.retryAt.Load()
}

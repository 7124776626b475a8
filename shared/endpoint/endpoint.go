// Package endpoint holds an entry's directory of the endpoints in its failure domain and chooses an endpoint for each request.
package endpoint

import (
	"sync/atomic"
	"time"

	"cowslipshunt.example/wire"
)

// Endpoint is one endpoint together with this entry's own requests in flight there. It stays valid after the views that list
// it have been replaced.
type Endpoint struct {
	state    atomic.Pointer[wire.EndpointState]
	limit    atomic.Int64
	inFlight atomic.Int64
	// drains counts the orders that keep new requests away from the endpoint.
	drains atomic.Int64
	// closed is set once a new view no longer lists the endpoint's id.
	closed atomic.Bool
	// retryAt is when a failed endpoint may be tried again, in Unix nanoseconds.
	retryAt  atomic.Int64
	failures atomic.Int64
	// silent counts the requests in flight to which the endpoint has sent nothing for too long.
	silent atomic.Int64
	// pendingPrefill is how many tokens of this entry's requests the endpoint still has to prefill.
	pendingPrefill atomic.Int64
	cache          cacheEstimate
}

// maxPendingPrefill bounds the tokens of this entry's requests that one endpoint still has to prefill. Requests beyond it wait in
// the entry's queue, which keeps the fair order between workspaces.
const maxPendingPrefill = 4096

// Bounds of the pause after a failure of an endpoint.
const (
	initialPause      = 250 * time.Millisecond
	maxPause          = 4 * time.Second
	maxPauseDoublings = 6
)

// State returns the endpoint's newest state, as sent by the holder of the failure domain's lease.
func (e *Endpoint) State() wire.EndpointState {
	return *e.state.Load()
}

// setState replaces the endpoint's state. A new version of the model leaves nothing in its prefix cache.
func (e *Endpoint) setState(state wire.EndpointState) {
	if previous := e.state.Swap(&state); previous != nil && previous.ModelVersion != state.ModelVersion {
		e.cache.reset()
	}
}

// InFlight counts this entry's requests at the endpoint.
func (e *Endpoint) InFlight() int {
	return int(e.inFlight.Load())
}

// usable reports whether new requests may be sent to the endpoint.
func (e *Endpoint) usable() bool {
	return !e.closed.Load() && e.drains.Load() == 0 && e.state.Load().Phase == wire.EndpointPhaseReady
}

// acquire takes one of the endpoint's slots and reports whether it succeeded. It increments the count before the check, so that
// no request can start after a drain has counted none in flight.
func (e *Endpoint) acquire() bool {
	n := e.inFlight.Add(1)
	if n <= e.maxInFlight() && e.usable() {
		return true
	}
	e.inFlight.Add(-1)
	return false
}

// admitsPrefill reports whether a request with this many tokens to prefill may be sent to the endpoint now. An endpoint without
// pending prefill admits a request of any length.
func (e *Endpoint) admitsPrefill(tokens int) bool {
	pending := e.pendingPrefill.Load()
	return pending == 0 || pending+int64(tokens) <= maxPendingPrefill
}

// maxInFlight returns how many requests may be in flight: after a failure only one, as a probe, besides the silent ones.
func (e *Endpoint) maxInFlight() int64 {
	limit := e.limit.Load()
	if e.failures.Load() > 0 {
		return min(limit, 1+e.silent.Load())
	}
	return limit
}

// RecordFailure records a failure of the endpoint at now and pauses it; each consecutive failure doubles the pause up to a maximum. The
// endpoint's prefix cache is assumed to be lost. Requests that fail during a pause do not lengthen it, because they were
// sent before it began.
func (e *Endpoint) RecordFailure(now time.Time) {
	if e.paused(now) {
		return
	}
	doublings := min(e.failures.Add(1)-1, maxPauseDoublings)
	pause := min(initialPause<<doublings, maxPause)
	e.retryAt.Store(now.Add(pause).UnixNano())
	e.cache.reset()
}

// RecordSuccess records that the endpoint answered, which ends its pause and restores its full number of slots.
func (e *Endpoint) RecordSuccess() {
	if e.failures.Load() != 0 {
		e.failures.Store(0)
		e.retryAt.Store(0)
	}
}

func (e *Endpoint) paused(now time.Time) bool {
	return now.UnixNano() < e.retryAt.Load()
}

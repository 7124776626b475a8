package endpoint

import (
	"sync/atomic"
	"time"
)

// Reason says why Choose picked an endpoint for a request.
type Reason string

// Reasons for a placement.
const (
	// Cached means that the endpoint has the least expected work and is estimated to have part of the prompt cached.
	Cached Reason = "Cached"
	// Shed means that the endpoint has the least expected work, although another one is estimated to have more of the prompt
	// cached.
	Shed Reason = "Shed"
	// Spread means that the endpoint has the least expected work and that no endpoint is estimated to have any of the prompt
	// cached.
	Spread Reason = "Spread"
	// Left means that none of the endpoints compared by work had room, and this one did.
	Left Reason = "Left"
)

// Slot is one request's reservation at an endpoint. The holder calls Release exactly once.
type Slot struct {
	*Endpoint
	Reason Reason
	// prefillTokens is how many tokens the endpoint is expected to prefill for the request.
	prefillTokens int64
	prefillDone   atomic.Bool
	// silent is set while the request counts in the endpoint's silent ones.
	silent atomic.Bool
}

// RecordStart records that the endpoint began to answer: it has done the request's prefill, and an earlier failure no longer counts.
func (s *Slot) RecordStart() {
	if s.finishPrefill() {
		s.RecordSuccess()
	}
}

// RecordSilence records that the endpoint has sent nothing for too long, as a failure at now. The request stays there, and does not count as
// the one that probes whether the endpoint works again. Later calls do nothing until RecordActivity was called.
func (s *Slot) RecordSilence(now time.Time) {
	if s.silent.Swap(true) {
		return
	}
	s.Endpoint.silent.Add(1)
	s.RecordFailure(now)
}

// RecordActivity records that the endpoint has sent something, which ends its silence.
func (s *Slot) RecordActivity() {
	if s.endSilence() {
		s.RecordSuccess()
	}
}

// endSilence reports whether the request was silent until now.
func (s *Slot) endSilence() bool {
	if !s.silent.Swap(false) {
		return false
	}
	s.Endpoint.silent.Add(-1)
	return true
}

// Release frees the slot.
func (s *Slot) Release() {
	s.finishPrefill()
	s.endSilence()
	s.Endpoint.Release()
}

// finishPrefill removes the request's prefill from the endpoint's pending prefill. It reports whether this was the first call.
func (s *Slot) finishPrefill() bool {
	if s.prefillDone.Swap(true) {
		return false
	}
	s.Endpoint.pendingPrefill.Add(-s.prefillTokens)
	return true
}

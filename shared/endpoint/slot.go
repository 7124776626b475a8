package endpoint

import "sync/atomic"

// Reason says why a request went to its endpoint.
type Reason string

// Reasons of a placement.
const (
	// Cached is the least expected work, with part of the prompt thought to be cached there.
	Cached Reason = "Cached"
	// Shed is the least expected work, though another endpoint is thought to have more of the prompt cached.
	Shed Reason = "Shed"
	// Spread is the least expected work where no endpoint is thought to know the prompt.
	Spread Reason = "Spread"
	// Left is one that had room when those looked at first had none.
	Left Reason = "Left"
)

// Slot is a request's place at an endpoint, which Release gives back once.
type Slot struct {
	*Endpoint
	Reason Reason
	// prefill is the tokens that the endpoint is expected to prefill for the request.
	prefill int64
	started atomic.Bool
}

// Started notes that the endpoint answered, so that it works and has done the request's prefill.
func (s *Slot) Started() {
	if s.endPrefill() {
		s.Worked()
	}
}

// Release gives the slot back.
func (s *Slot) Release() {
	s.endPrefill()
	s.Endpoint.Release()
}

// endPrefill takes the prefill off what is waited for, and tells whether it was the first to do so.
func (s *Slot) endPrefill() bool {
	if s.started.Swap(true) {
		return false
	}
	s.Endpoint.prefill.Add(-s.prefill)
	return true
}

// Package roster keeps what an instance knows of the endpoints that the platform lists.
package roster

import (
	"sync/atomic"
	"time"

	"cowslipshunt.example/wire"
)

// Stage is what an engine does with a request.
type Stage int

// The stages of an engine. Endpoints of plain services have none.
const (
	NoStage Stage = iota
	Prefill
	Decode
)

// String names the stage for logs.
func (s Stage) String() string {
	return [...]string{"None", "Prefill", "Decode"}[s]
}

// Key identifies one incarnation of an endpoint.
type Key struct {
	ID wire.EndpointId
	// Born is the start of the incarnation, in Unix milliseconds.
	Born int64
}

// Entry is what the platform lists of an endpoint.
type Entry struct {
	Key
	Service wire.ServiceName
	// Address is the endpoint's IP number and port.
	Address string
	Domain  wire.DomainName
	Slots   int
	Stage   Stage
	// Leaving endpoints take no new work.
	Leaving bool
	// Spot endpoints cost less and may be reclaimed, all of a failure domain at once.
	Spot bool
}

// Endpoint is one incarnation of an endpoint with this instance's own load there. It outlives the views that list it.
type Endpoint struct {
	entry   atomic.Pointer[Entry]
	removed atomic.Bool
	// ordered is until when an order that takes the endpoint away may be under way, in Unix nanoseconds.
	ordered  atomic.Int64
	inFlight atomic.Int64
	// prefill is the tokens that this instance's requests still wait to have prefilled.
	prefill atomic.Int64
	// peersInFlight and peersPrefill are the same of the other instances.
	peersInFlight, peersPrefill atomic.Int64
	failure                     failure
	cache                       cache
}

// Entry returns what the platform listed last.
func (e *Endpoint) Entry() *Entry {
	return e.entry.Load()
}

// Open tells whether new work may go to the endpoint at now.
func (e *Endpoint) Open(now time.Time) bool {
	return !e.removed.Load() && !e.Entry().Leaving && !e.failure.paused(now) && now.UnixNano() >= e.ordered.Load()
}

// Listed tells whether the endpoint is in the newest view.
func (e *Endpoint) Listed() bool {
	return !e.removed.Load()
}

// CloseUntil keeps new work away while an order takes the endpoint away.
func (e *Endpoint) CloseUntil(t time.Time) {
	e.ordered.Store(t.UnixNano())
}

// InFlight counts the requests of all instances at the endpoint, as far as they are known.
func (e *Endpoint) InFlight() int {
	return int(e.inFlight.Load() + e.peersInFlight.Load())
}

// OwnInFlight counts this instance's requests at the endpoint.
func (e *Endpoint) OwnInFlight() int {
	return int(e.inFlight.Load())
}

// PrefillLoad is the tokens that requests of all instances wait to have prefilled there, as far as they are known.
func (e *Endpoint) PrefillLoad() int {
	return int(e.prefill.Load() + e.peersPrefill.Load())
}

// OwnPrefill is the tokens that this instance's requests wait to have prefilled there.
func (e *Endpoint) OwnPrefill() int {
	return int(e.prefill.Load())
}

// SetPeers notes what the other instances have under way at the endpoint.
func (e *Endpoint) SetPeers(prefill, inFlight int) {
	e.peersPrefill.Store(int64(prefill))
	e.peersInFlight.Store(int64(inFlight))
}

// Begin counts a request with so many tokens to prefill; the function that it returns ends it, once.
func (e *Endpoint) Begin(tokens int) func() {
	e.inFlight.Add(1)
	e.prefill.Add(int64(tokens))
	var done atomic.Bool
	return func() {
		if done.Swap(true) {
			return
		}
		e.inFlight.Add(-1)
		e.prefill.Add(-int64(tokens))
	}
}

// Failed notes that the endpoint failed and pauses it, longer each time. What it kept counts as lost.
func (e *Endpoint) Failed(now time.Time) {
	e.failure.failed(now)
	e.cache.forget()
}

// Worked notes that the endpoint answered.
func (e *Endpoint) Worked() {
	e.failure.worked()
}

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
	// hash is that of the endpoint's id.
	hash    uint64
	entry   atomic.Pointer[Entry]
	removed atomic.Bool
	// away is set while an order takes the endpoint away.
	away     atomic.Pointer[away]
	inFlight atomic.Int64
	// prefill is the tokens that this instance's requests still wait to have prefilled.
	prefill atomic.Int64
	// peersInFlight and peersPrefill are the same of the other instances.
	peersInFlight, peersPrefill atomic.Int64
	failure                     failure
	// suspected is set while several other instances leave the endpoint alone.
	suspected atomic.Bool
	cache     cache
}

// away is an order to another stage that may be under way until a time.
type away struct {
	to    Stage
	until time.Time
}

// Hash returns a hash of the endpoint's id, the same on all instances.
func (e *Endpoint) Hash() uint64 {
	return e.hash
}

// Entry returns what the platform listed last.
func (e *Endpoint) Entry() *Entry {
	return e.entry.Load()
}

// Open tells whether new work may go to the endpoint at now.
func (e *Endpoint) Open(now time.Time) bool {
	return !e.removed.Load() && !e.Entry().Leaving && !e.failure.paused(now) && !e.suspected.Load() && !e.isAway(now)
}

// Listed tells whether the endpoint is in the newest view.
func (e *Endpoint) Listed() bool {
	return !e.removed.Load()
}

// Changing keeps new work away until the platform lists the endpoint in the stage that it was ordered to, at most until a
// time.
func (e *Endpoint) Changing(to Stage, until time.Time) {
	e.away.Store(&away{to: to, until: until})
}

func (e *Endpoint) isAway(now time.Time) bool {
	a := e.away.Load()
	return a != nil && now.Before(a.until) && e.Entry().Stage != a.to
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

// Failed notes that the endpoint failed and pauses it, longer each time. It returns the pause, 0 if it was paused already. What
// the endpoint kept counts as lost.
func (e *Endpoint) Failed(now time.Time) time.Duration {
	e.cache.forget()
	return e.failure.failed(now)
}

// Paused tells whether this instance leaves the endpoint alone as it failed.
func (e *Endpoint) Paused(now time.Time) bool {
	return e.failure.paused(now)
}

// SetSuspected notes whether several other instances leave the endpoint alone, and tells whether that is news.
func (e *Endpoint) SetSuspected(suspected bool) bool {
	return e.suspected.Swap(suspected) != suspected
}

// Rejected notes that the endpoint did not run a request, for it is full or away. It is paused like one that failed, as it
// would otherwise look idle, but it keeps what it holds. It returns the pause like Failed.
func (e *Endpoint) Rejected(now time.Time) time.Duration {
	return e.failure.failed(now)
}

// Worked notes that the endpoint answered, and tells whether it had failed before.
func (e *Endpoint) Worked() bool {
	return e.failure.worked()
}

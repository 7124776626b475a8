// Package roster holds an instance's state of each endpoint that the platform lists: its listing, load, failures and cached
// prompt parts.
package roster

import (
	"fmt"
	"sync/atomic"
	"time"

	"cowslipshunt.example/serving/speed"
	"cowslipshunt.example/wire"
)

// Stage is the part of a request that an engine runs: prefill or decode.
type Stage int

// The stages of an engine. Endpoints that are not engines have NoStage.
const (
	NoStage Stage = iota
	Prefill
	Decode
)

// String names the stage for logs.
func (s Stage) String() string {
	names := [...]string{"None", "Prefill", "Decode"}
	if s < 0 || int(s) >= len(names) {
		return fmt.Sprintf("Stage(%d)", int(s))
	}
	return names[s]
}

// Key identifies one incarnation of an endpoint.
type Key struct {
	ID wire.EndpointId
	// Born is the start of the incarnation, in Unix milliseconds.
	Born int64
}

// Entry is the platform's listing of an endpoint.
type Entry struct {
	Key
	Service wire.ServiceName
	// Address is the endpoint's IP address and port.
	Address string
	Domain  wire.DomainName
	Slots   int
	Stage   Stage
	// Leaving is set while the platform lists the endpoint as draining: it accepts no new requests.
	Leaving bool
	// Spot endpoints cost less but may be reclaimed, all those of a failure domain at once.
	Spot bool
}

// Endpoint is one incarnation of an endpoint, with the load that this instance and its peers have there. It may outlive the views
// that list it.
type Endpoint struct {
	// hash is the hash of the endpoint's id.
	hash    uint64
	entry   atomic.Pointer[Entry]
	removed atomic.Bool
	// change is the last order that moves the endpoint to another stage, nil if there was none.
	change   atomic.Pointer[stageChange]
	inFlight atomic.Int64
	// prefillTokens counts the tokens that this instance's requests in flight add to the prefill load. Those of a request count until
	// it ends, even if its prefill ends earlier.
	prefillTokens atomic.Int64
	// peerInFlight and peerPrefillTokens are the same counts for the other instances, from their reports.
	peerInFlight, peerPrefillTokens atomic.Int64
	// heldBytes are the bytes of this instance's requests that are not answered yet, if they are bounded.
	heldBytes atomic.Int64
	backoff   backoff
	// suspected is set while several other instances avoid the endpoint after failures.
	suspected atomic.Bool
	cache     cache
	// speed is learned for the engines of contended services only.
	speed speed.Estimate
	// restrictions are what this incarnation has asked of this instance.
	restrictions *restrictions
}

// stageChange is an order to another stage, which is expected to complete by a deadline.
type stageChange struct {
	to       Stage
	deadline time.Time
}

// Hash returns a hash of the endpoint's id. It is the same on all instances.
func (e *Endpoint) Hash() uint64 {
	return e.hash
}

// Entry returns the newest listing by the platform.
func (e *Endpoint) Entry() *Entry {
	return e.entry.Load()
}

// Available reports whether new requests may be sent to the endpoint: it is listed and not leaving, paused, suspected or changing
// its stage, it has not asked for a pause, and no probe after such a pause is under way.
func (e *Endpoint) Available(now time.Time) bool {
	return !e.removed.Load() && !e.Leaving() && e.restrictions.pause.open(now) && !e.backoff.paused(now) && !e.suspected.Load() &&
		!e.changingStage(now)
}

// Listed reports whether this incarnation of the endpoint is in the newest view.
func (e *Endpoint) Listed() bool {
	return !e.removed.Load()
}

// SetChangingStage records that the endpoint was ordered to another stage. It is not available until the platform lists it with
// that stage or the deadline passes.
func (e *Endpoint) SetChangingStage(to Stage, deadline time.Time) {
	e.change.Store(&stageChange{to: to, deadline: deadline})
}

func (e *Endpoint) changingStage(now time.Time) bool {
	c := e.change.Load()
	return c != nil && now.Before(c.deadline) && e.Entry().Stage != c.to
}

// InFlight returns the number of requests in flight at the endpoint: this instance's and those that its peers last reported.
func (e *Endpoint) InFlight() int {
	return int(e.inFlight.Load() + e.peerInFlight.Load())
}

// OwnInFlight returns the number of this instance's requests in flight at the endpoint.
func (e *Endpoint) OwnInFlight() int {
	return int(e.inFlight.Load())
}

// PrefillLoad returns how many tokens the requests in flight have to prefill at the endpoint: those of this instance and those that
// its peers last reported.
func (e *Endpoint) PrefillLoad() int {
	return int(e.prefillTokens.Load() + e.peerPrefillTokens.Load())
}

// OwnPrefillLoad returns how many tokens this instance's requests in flight have to prefill at the endpoint.
func (e *Endpoint) OwnPrefillLoad() int {
	return int(e.prefillTokens.Load())
}

// SetPeerLoad sets the load of all other instances at the endpoint: requests in flight and the tokens that these have to prefill.
func (e *Endpoint) SetPeerLoad(prefillTokens, inFlight int) {
	e.peerPrefillTokens.Store(int64(prefillTokens))
	e.peerInFlight.Store(int64(inFlight))
}

// Begin adds a request with the given number of tokens to prefill to this instance's load. The returned function removes it again;
// calls after the first have no effect.
func (e *Endpoint) Begin(tokens int) func() {
	e.inFlight.Add(1)
	e.prefillTokens.Add(int64(tokens))
	var done atomic.Bool
	return func() {
		if done.Swap(true) {
			return
		}
		e.inFlight.Add(-1)
		e.prefillTokens.Add(-int64(tokens))
	}
}

// BeginPrefill adds a number of tokens to prefill to this instance's load without a further request. The returned function removes them again;
// calls after the first have no effect.
func (e *Endpoint) BeginPrefill(tokens int) func() {
	e.prefillTokens.Add(int64(tokens))
	var done atomic.Bool
	return func() {
		if !done.Swap(true) {
			e.prefillTokens.Add(-int64(tokens))
		}
	}
}

// MarkFailed records that the endpoint failed and pauses it, each time for longer up to maxPause. It returns the length of
// the pause, or 0 if the endpoint was paused already. The endpoint's KV cache counts as lost.
func (e *Endpoint) MarkFailed(now time.Time) time.Duration {
	e.cache.clear()
	return e.backoff.begin(now)
}

// Paused reports whether this instance avoids the endpoint after a failure or rejection.
func (e *Endpoint) Paused(now time.Time) bool {
	return e.backoff.paused(now)
}

// SetSuspected sets whether several other instances avoid the endpoint.
func (e *Endpoint) SetSuspected(suspected bool) {
	e.suspected.Store(suspected)
}

// MarkRejected records that the endpoint did not run a request because it is full or temporarily unavailable. It is paused like an
// endpoint that failed, since it would otherwise look idle and attract requests, but its KV cache does not count as lost. It
// returns the pause as MarkFailed does.
func (e *Endpoint) MarkRejected(now time.Time) time.Duration {
	return e.backoff.begin(now)
}

// MarkWorking records that the endpoint answered and ends the pause after failures, but not one that the endpoint asked for. It reports
// whether the endpoint had failed or rejected a request since it last worked.
func (e *Endpoint) MarkWorking() bool {
	return e.backoff.reset()
}

// Speed returns how fast the endpoint prefills prompts, as a multiple of the nominal speed. It is 1 until it has been learned.
func (e *Endpoint) Speed(now time.Time) float64 {
	return e.speed.Factor(now)
}

// SpeedAge returns the time since the last sample of the endpoint's speed, and whether the speed has been learned.
func (e *Endpoint) SpeedAge(now time.Time) (age time.Duration, learned bool) {
	return e.speed.Age(now), e.speed.Known(now)
}

// ObserveSpeed adds a sample of the endpoint's speed, as a multiple of the nominal one, and reports whether Speed has changed.
func (e *Endpoint) ObserveSpeed(factor float64, now time.Time) bool {
	return e.speed.Observe(factor, now)
}

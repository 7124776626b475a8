// Package peerload shares among instances what each has under way at the endpoints, and which parts of prompts it has sent
// where. What peers say only guides the choice of endpoint: a report that is lost or false makes it worse, never wrong.
package peerload

import (
	"cmp"
	"slices"

	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
)

// Load is what one instance has under way at one endpoint.
type Load struct {
	_        struct{} `cbor:",toarray"`
	Endpoint wire.EndpointId
	// Prefill is the tokens that wait to be prefilled.
	Prefill int
	// InFlight is the number of requests.
	InFlight int
}

// Use is parts of a prompt that an endpoint was sent.
type Use struct {
	_        struct{} `cbor:",toarray"`
	Endpoint wire.EndpointId
	Parts    []roster.PartID
}

// Change is an order that takes an engine away until it has another stage.
type Change struct {
	_        struct{} `cbor:",toarray"`
	Endpoint wire.EndpointId
	To       roster.Stage
}

// Report is one instance's state. A later one has a higher Sequence and replaces the loads of those before.
type Report struct {
	_           struct{} `cbor:",toarray"`
	From        wire.InstanceName
	Incarnation wire.IncarnationId
	Sequence    uint64
	// Address is where the sender takes reports.
	Address string
	// Holds tells that the sender believes to hold the lease of the duties.
	Holds   bool
	Loads   []Load
	Uses    []Use
	Changes []Change
	// Paused are the endpoints that the sender leaves alone as they failed.
	Paused []wire.EndpointId
}

// Shorter returns the report without half of its uses or, if it has none, without the lesser half of its loads.
func (r Report) Shorter() Report {
	if n := len(r.Uses); n > 0 {
		r.Uses = r.Uses[:n/2]
		return r
	}
	loads := slices.Clone(r.Loads)
	slices.SortStableFunc(loads, func(a, b Load) int {
		return cmp.Or(cmp.Compare(b.Prefill, a.Prefill), cmp.Compare(b.InFlight, a.InFlight))
	})
	r.Loads = loads[:len(loads)/2]
	r.Paused = r.Paused[:min(len(r.Paused), maxPausedWhenShort)]
	return r
}

// maxPausedWhenShort bounds the paused endpoints of a report that has to be shortened.
const maxPausedWhenShort = 16

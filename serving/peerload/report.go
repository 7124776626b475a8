// Package peerload shares among instances what each has under way at the endpoints, and which parts of prompts it has sent
// where. What peers say only guides the choice of endpoint: a report that is lost or false makes it worse, never wrong.
package peerload

import (
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
)

// Load is what one instance has under way at one endpoint.
type Load struct {
	Endpoint wire.EndpointId
	// Prefill is the tokens that wait to be prefilled.
	Prefill int
	// InFlight is the number of requests.
	InFlight int
}

// Use is parts of a prompt that an endpoint was sent.
type Use struct {
	Endpoint wire.EndpointId
	Parts    []roster.PartID
}

// Change is an order that takes an engine away until it has another stage.
type Change struct {
	Endpoint wire.EndpointId
	To       roster.Stage
}

// Report is one instance's state. A later one has a higher Sequence and replaces the loads of those before.
type Report struct {
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

// Package peerload shares among instances the load that each has at the endpoints, and which prompt parts it has sent
// where. Reports only guide the choice of endpoint: one that is lost or false makes the choice worse, but never incorrect.
package peerload

import (
	"cmp"
	"slices"

	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
)

// Load is the load that one instance has at one endpoint.
type Load struct {
	_        struct{} `cbor:",toarray"`
	Endpoint wire.EndpointId
	// Prefill is the number of tokens that the requests in flight have to prefill.
	Prefill int
	// InFlight is the number of requests in flight.
	InFlight int
}

// SentParts are prompt parts that were sent to an endpoint.
type SentParts struct {
	_        struct{} `cbor:",toarray"`
	Endpoint wire.EndpointId
	Parts    []roster.PartID
}

// StageChange is an order that moves an engine to another stage. The engine gets no new requests until it is listed with that
// stage.
type StageChange struct {
	_        struct{} `cbor:",toarray"`
	Endpoint wire.EndpointId
	To       roster.Stage
}

// Departure is an incarnation of an endpoint that has said in an answer that it leaves.
type Departure struct {
	_        struct{} `cbor:",toarray"`
	Endpoint wire.EndpointId
	// Born is the start of the incarnation, in Unix milliseconds.
	Born int64
}

// Report is the state of one instance. Of two reports of one incarnation, the one with the higher Sequence is newer; its loads and
// paused endpoints replace those of the other.
type Report struct {
	_           struct{} `cbor:",toarray"`
	From        wire.InstanceName
	Incarnation wire.IncarnationId
	Sequence    uint64
	// Address is where the sender receives reports, Domain its failure domain.
	Address string
	Domain  wire.DomainName
	// Holds is set if the sender believes that it holds the duties lease.
	Holds   bool
	Loads   []Load
	Sent    []SentParts
	Changes []StageChange
	// Paused are the endpoints that the sender avoids because they failed or rejected a request.
	Paused []wire.EndpointId
	// Leaving are endpoints that told the sender that they leave, at most maxReportedLeaving in one report. They are not part of the encoded
	// array, whose length instances of other versions know.
	Leaving []Departure `cbor:"-"`
	// Speeds are samples of engines' speeds since the last report, at most maxReportedSpeeds. They are not part of the encoded array either.
	Speeds []Speed `cbor:"-"`
}

// Speed is one sample of an engine's speed.
type Speed struct {
	_        struct{} `cbor:",toarray"`
	Endpoint wire.EndpointId
	// Permille is the speed in thousandths of the nominal one.
	Permille int
}

// maxReportedSpeeds bounds the samples in one report, and those that are kept for it. With 400 instances that report once a second, each
// receives about 41 KB/s of them.
const maxReportedSpeeds = 6

// Shortened returns the report without the second half of its sent parts. If it has none, the report loses the half of its loads
// with the fewest tokens to prefill, and all but 16 of its paused endpoints.
func (r Report) Shortened() Report {
	if n := len(r.Sent); n > 0 {
		r.Sent = r.Sent[:n/2]
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

// maxReportedLeaving bounds the leaving endpoints in one report. If there are more, the reports name them in turn.
const maxReportedLeaving = 16

// maxPausedWhenShort is how many paused endpoints a shortened report keeps.
const maxPausedWhenShort = 16

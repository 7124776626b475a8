package quota

import (
	"time"

	"cowslipshunt.example/wire"
)

// Packet is what one instance tells another about quotas in one datagram. Packets may be lost, late or repeated.
type Packet struct {
	// From is the sender's address for datagrams.
	From        string             `cbor:"1,keyasint"`
	Incarnation wire.IncarnationId `cbor:"2,keyasint"`
	Domain      wire.DomainName    `cbor:"3,keyasint"`
	Asks        []Ask              `cbor:"4,keyasint,omitempty"`
	Answers     []Answer           `cbor:"5,keyasint,omitempty"`
	Reports     []Report           `cbor:"6,keyasint,omitempty"`
	Totals      []Total            `cbor:"7,keyasint,omitempty"`
	// Cancels are asks that the sender did not wait for any longer. A grant of one of them is void.
	Cancels []Ask `cbor:"8,keyasint,omitempty"`
}

// Ask is an instance's question whether a request may run. One with no cost asks only for the level and an allowance.
type Ask struct {
	_         struct{} `cbor:",toarray"`
	Number    uint64
	Workspace wire.WorkspaceName
	Cost      float64
}

// Answer is a coordinator's answer to an Ask.
type Answer struct {
	_         struct{} `cbor:",toarray"`
	Number    uint64
	Workspace wire.WorkspaceName
	Granted   bool
	// RetryAfter is when the request would be granted, if it was not.
	RetryAfter time.Duration
	// Allowance is the cost of requests that the instance may run without asking, within allowanceLife.
	Allowance float64
	// Level is the level of the bucket, Share the instance's share of what the workspace spends.
	Level, Share float64
}

// Report tells a coordinator what an instance has spent without asking. Spent counts since the instance took the coordinator for its Term;
// of two reports of a term, the one with the higher Sequence is newer.
type Report struct {
	_         struct{} `cbor:",toarray"`
	Workspace wire.WorkspaceName
	Term      uint64
	Sequence  uint64
	Spent     float64
	// Known is what the coordinator had been told of when it answered last. One that has restarted since counts only what is beyond that.
	Known float64
}

// Total tells another coordinator what the sender has granted and been told of since its process started.
type Total struct {
	_         struct{} `cbor:",toarray"`
	Workspace wire.WorkspaceName
	Sequence  uint64
	Spent     float64
	// Recent is what was spent of late; a receiver that hears of the sender for the first time counts no more than that.
	Recent float64
	// Level is the level of the sender's bucket; it is meaningless unless Ready is set.
	Level float64
	Ready bool
	// Need asks the receiver for a Total, as the sender is a new coordinator.
	Need bool
}

package main

import (
	"math/rand/v2"
	"time"

	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/wire"
)

// variant is one policy to measure.
type variant struct {
	name string
	// inOrder serves requests first in, first out.
	inOrder bool
	// waits refuses nothing before its time is over.
	waits  bool
	choose chooser
}

// chooser takes a slot for a request, or returns nil.
type chooser func(list []*endpoint.Endpoint, need endpoint.Need, now time.Time, turn int, rng *rand.Rand) *endpoint.Slot

func variants() []variant {
	return []variant{
		{name: "in order, round robin", inOrder: true, waits: true, choose: roundRobin},
		{name: "fair, round robin", waits: true, choose: roundRobin},
		{name: "fair, two choices", waits: true, choose: twoChoices},
		{name: "in order, current", inOrder: true, waits: true, choose: current},
		{name: "current, no early refusal", waits: true, choose: current},
		{name: "current", choose: current},
	}
}

// current is what entries do.
func current(list []*endpoint.Endpoint, need endpoint.Need, now time.Time, _ int, rng *rand.Rand) *endpoint.Slot {
	return endpoint.Choose(list, need, now, rng)
}

// roundRobin offers the request to one endpoint after the other.
func roundRobin(list []*endpoint.Endpoint, need endpoint.Need, now time.Time, turn int, rng *rand.Rand) *endpoint.Slot {
	for i := range list {
		at := (turn + i) % len(list)
		if e := endpoint.Choose(list[at:at+1], need, now, rng); e != nil {
			return e
		}
	}
	return nil
}

// twoChoices takes the one of two random endpoints that has fewer of the entry's requests in flight.
func twoChoices(list []*endpoint.Endpoint, need endpoint.Need, now time.Time, _ int, rng *rand.Rand) *endpoint.Slot {
	if len(list) == 0 {
		return nil
	}
	a, b := rng.IntN(len(list)), rng.IntN(len(list))
	if list[b].InFlight() < list[a].InFlight() {
		a = b
	}
	if e := endpoint.Choose(list[a:a+1], need, now, rng); e != nil {
		return e
	}
	return roundRobin(list, need, now, a, rng)
}

// workspaceName returns the name under which a request queues: one for all if the queue keeps the order of arrival.
func (v variant) workspaceName(workspace int) wire.WorkspaceName {
	if v.inOrder {
		return "all"
	}
	return wire.WorkspaceName(rune('a' + workspace))
}

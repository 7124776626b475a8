package main

import (
	"math/rand/v2"
	"time"

	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/wire"
)

// variant is one combination of queue order, refusal and endpoint selection to measure.
type variant struct {
	name string
	// fifo serves requests in order of arrival, without fairness between workspaces.
	fifo bool
	// noEarlyRefusal keeps each request in the queue until its time limit, also if it is predicted to miss it.
	noEarlyRefusal bool
	choose         chooser
}

// chooser reserves a slot on an endpoint for a request, or returns nil if no endpoint can take it.
// slotsGranted is the number of slots that the entry has granted so far.
type chooser func(list []*endpoint.Endpoint, need endpoint.Need, now time.Time, slotsGranted int, rng *rand.Rand) *endpoint.Slot

func variants() []variant {
	return []variant{
		{name: "in order, round robin", fifo: true, noEarlyRefusal: true, choose: roundRobin},
		{name: "fair, round robin", noEarlyRefusal: true, choose: roundRobin},
		{name: "fair, two choices", noEarlyRefusal: true, choose: twoChoices},
		{name: "in order, current", fifo: true, noEarlyRefusal: true, choose: current},
		{name: "current, no early refusal", noEarlyRefusal: true, choose: current},
		{name: "current", choose: current},
	}
}

// current is the endpoint selection that entries use.
func current(list []*endpoint.Endpoint, need endpoint.Need, now time.Time, _ int, rng *rand.Rand) *endpoint.Slot {
	return endpoint.Choose(list, need, now, rng)
}

// roundRobin tries the endpoints one after the other, beginning at index start modulo their number.
func roundRobin(list []*endpoint.Endpoint, need endpoint.Need, now time.Time, start int, rng *rand.Rand) *endpoint.Slot {
	for i := range list {
		at := (start + i) % len(list)
		if slot := endpoint.Choose(list[at:at+1], need, now, rng); slot != nil {
			return slot
		}
	}
	return nil
}

// twoChoices compares two random endpoints and tries the one with fewer of the entry's requests in flight; if that one has
// no slot, it tries all, beginning there.
func twoChoices(list []*endpoint.Endpoint, need endpoint.Need, now time.Time, _ int, rng *rand.Rand) *endpoint.Slot {
	if len(list) == 0 {
		return nil
	}
	a, b := rng.IntN(len(list)), rng.IntN(len(list))
	if list[b].InFlight() < list[a].InFlight() {
		a = b
	}
	if slot := endpoint.Choose(list[a:a+1], need, now, rng); slot != nil {
		return slot
	}
	return roundRobin(list, need, now, a, rng)
}

// workspaceName returns the workspace name under which a request queues. A FIFO variant uses one name for all, which turns
// the fair queue into a first-in-first-out queue.
func (v variant) workspaceName(workspace int) wire.WorkspaceName {
	if v.fifo {
		return "all"
	}
	return wire.WorkspaceName(rune('a' + workspace))
}

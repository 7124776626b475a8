package endpoint

import (
	"math/rand/v2"
	"time"

	"cowslipshunt.example/wire"
)

// Need says which endpoints suit a request.
type Need struct {
	// Steady leaves cheap endpoints out.
	Steady bool
	// Not holds endpoints that this request has failed on.
	Not []wire.EndpointId
}

// Choose takes a slot at one of the endpoints, or returns nil if none has one. Of two random endpoints it takes the one
// with fewer requests in flight; if both are full it tries the rest.
func Choose(list []*Endpoint, need Need, now time.Time, rng *rand.Rand) *Endpoint {
	suited := make([]*Endpoint, 0, len(list))
	for _, e := range list {
		if suits(e, need) && !e.paused(now) {
			suited = append(suited, e)
		}
	}
	if len(suited) == 0 {
		return nil
	}
	if e := better(suited, rng); e.acquire() {
		return e
	}
	first := rng.IntN(len(suited))
	for i := range suited {
		if e := suited[(first+i)%len(suited)]; e.acquire() {
			return e
		}
	}
	return nil
}

// Suited counts the endpoints that may serve a request now or after a pause.
func Suited(list []*Endpoint, need Need) int {
	n := 0
	for _, e := range list {
		if suits(e, need) {
			n++
		}
	}
	return n
}

func better(list []*Endpoint, rng *rand.Rand) *Endpoint {
	a := list[rng.IntN(len(list))]
	b := list[rng.IntN(len(list))]
	if b.InFlight() < a.InFlight() {
		return b
	}
	return a
}

func suits(e *Endpoint, need Need) bool {
	if !e.usable() {
		return false
	}
	state := e.state.Load()
	if need.Steady && state.Cheap {
		return false
	}
	for _, id := range need.Not {
		if id == state.Endpoint {
			return false
		}
	}
	return true
}

// Release gives a slot back.
func (e *Endpoint) Release() {
	e.inFlight.Add(-1)
}

package endpoint

import (
	"math/rand/v2"
	"time"

	"cowslipshunt.example/shared/piece"
	"cowslipshunt.example/wire"
)

// Need says which endpoints suit a request.
type Need struct {
	// Steady leaves cheap endpoints out.
	Steady bool
	// Not holds endpoints that this request has failed on.
	Not []wire.EndpointId
	// Prompt is what the endpoint has to prefill.
	Prompt Prompt
}

// Bounds and weights of a choice.
const (
	// maxLooked bounds how many endpoints are compared.
	maxLooked = 8
	// looksWithoutPrompt is how many are compared for a request whose prompt is not known.
	looksWithoutPrompt = 2
	// anchored is how many of those compared are the first by rendezvous, so that entries agree where a prompt is cached.
	anchored = 2
	// requestTokens is the prefill that weighs as much as one more request in flight.
	requestTokens = 256
)

// look is an endpoint with what a request would cost there.
type look struct {
	endpoint *Endpoint
	matched  int
	work     int64
	weight   uint64
}

// Choose takes a slot at one of the endpoints, or returns nil if none has one. Of those that it compares it takes the one
// with the least expected work: this entry's requests in flight there, the prefill they wait for, and what is left to
// prefill of this prompt. If all of those are full it tries the rest.
func Choose(list []*Endpoint, need Need, now time.Time, rng *rand.Rand) *Slot {
	var room [2 * maxLooked]*Endpoint
	suited := room[:0]
	for _, e := range list {
		if suits(e, need) && !e.paused(now) {
			suited = append(suited, e)
		}
	}
	if len(suited) == 0 {
		return nil
	}
	if s := chooseLeast(suited, need.Prompt, rng); s != nil {
		return s
	}
	first := rng.IntN(len(suited))
	for i := range suited {
		e := suited[(first+i)%len(suited)]
		matched := e.memory.match(need.Prompt.Keys)
		if e.takesPrefill(need.Prompt.left(matched)) && e.acquire() {
			return take(e, need.Prompt, matched, Left)
		}
	}
	return nil
}

// chooseLeast takes a slot at the endpoint with the least work that has one.
func chooseLeast(suited []*Endpoint, p Prompt, rng *rand.Rand) *Slot {
	var room [maxLooked]look
	looks := lookAt(room[:0], suited, p, rng)
	most := 0
	for _, l := range looks {
		most = max(most, l.matched)
	}
	for len(looks) > 0 {
		least := 0
		for i := range looks {
			if looks[i].before(looks[least]) {
				least = i
			}
		}
		l := looks[least]
		if l.endpoint.takesPrefill(p.left(l.matched)) && l.endpoint.acquire() {
			return take(l.endpoint, p, l.matched, l.reason(most))
		}
		looks[least] = looks[len(looks)-1]
		looks = looks[:len(looks)-1]
	}
	return nil
}

// take makes the slot that was acquired.
func take(e *Endpoint, p Prompt, matched int, reason Reason) *Slot {
	s := &Slot{Endpoint: e, Reason: reason, prefill: int64(p.left(matched))}
	e.prefill.Add(s.prefill)
	e.memory.learn(p.Keys)
	return s
}

// lookAt compares the first endpoints by rendezvous and random others, or all if they are few.
func lookAt(looks []look, suited []*Endpoint, p Prompt, rng *rand.Rand) []look {
	anchor := p.anchor()
	n := maxLooked
	if anchor == 0 {
		n = looksWithoutPrompt
	} else if len(suited) > n {
		bringForward(suited, anchor)
	}
	for i := range min(n, len(suited)) {
		if len(suited) > n && (anchor == 0 || i >= anchored) {
			j := i + rng.IntN(len(suited)-i)
			suited[i], suited[j] = suited[j], suited[i]
		}
		looks = append(looks, lookAtOne(suited[i], p, anchor, rng))
	}
	return looks
}

// bringForward puts the first endpoints by rendezvous in front.
func bringForward(suited []*Endpoint, anchor piece.Key) {
	for i := range anchored {
		first := i
		for j := i + 1; j < len(suited); j++ {
			if rendezvous(anchor, suited[j].State().Endpoint) > rendezvous(anchor, suited[first].State().Endpoint) {
				first = j
			}
		}
		suited[i], suited[first] = suited[first], suited[i]
	}
}

func lookAtOne(e *Endpoint, p Prompt, anchor piece.Key, rng *rand.Rand) look {
	l := look{endpoint: e, matched: e.memory.match(p.Keys)}
	l.work = e.prefill.Load() + int64(e.InFlight())*requestTokens + int64(p.left(l.matched))
	if anchor == 0 {
		l.weight = rng.Uint64()
	} else {
		l.weight = rendezvous(anchor, e.State().Endpoint)
	}
	return l
}

// before tells whether a request costs less here than at other; equal ones are ordered by weight.
func (l look) before(other look) bool {
	if l.work != other.work {
		return l.work < other.work
	}
	return l.weight > other.weight
}

func (l look) reason(most int) Reason {
	switch {
	case l.matched < most:
		return Shed
	case l.matched > 0:
		return Cached
	}
	return Spread
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

// Unpaused tells whether an endpoint that may serve a request is not paused after a failure.
func Unpaused(list []*Endpoint, need Need, now time.Time) bool {
	for _, e := range list {
		if suits(e, need) && !e.paused(now) {
			return true
		}
	}
	return false
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

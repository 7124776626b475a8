package endpoint

import (
	"math/rand/v2"
	"time"

	"cowslipshunt.example/shared/promptblock"
	"cowslipshunt.example/wire"
)

// Need states which endpoints are eligible for a request, and the prompt they would have to prefill.
type Need struct {
	// ExcludeCheap excludes cheap endpoints.
	ExcludeCheap bool
	// Excluded lists the endpoints on which the request already failed.
	Excluded []wire.EndpointId
	// Prompt is the prompt that the endpoint has to prefill.
	Prompt Prompt
}

// Bounds and weights of a choice.
const (
	// maxCandidates bounds how many endpoints are compared.
	maxCandidates = 8
	// candidatesWithoutPrompt is how many endpoints are compared if the request's prompt has no block keys.
	candidatesWithoutPrompt = 2
	// rendezvousCandidates is how many of the compared endpoints are chosen by rendezvous hashing rather than at random. It makes
	// all entries agree on where a prompt is cached.
	rendezvousCandidates = 2
	// inFlightCostTokens is the number of prefill tokens that weigh as much as one request in flight.
	inFlightCostTokens = 256
)

// candidate is an endpoint with the expected work of a request there.
type candidate struct {
	endpoint *Endpoint
	// matchedBlocks is how many leading blocks of the prompt are estimated to be cached at the endpoint.
	matchedBlocks int
	// workTokens is the expected work, in prefill tokens.
	workTokens int64
	// tieBreak orders candidates of equal work; the higher one is preferred.
	tieBreak uint64
}

// Choose takes a slot at one of the endpoints, or returns nil if none has room. It compares a sample of the eligible endpoints
// and prefers the one with the least expected work: this entry's requests in flight there, the prefill still pending for
// them, and the part of this prompt that is not cached there. If the whole sample is full, it tries every eligible endpoint.
func Choose(endpoints []*Endpoint, need Need, now time.Time, rng *rand.Rand) *Slot {
	var buf [2 * maxCandidates]*Endpoint
	eligible := buf[:0]
	for _, e := range endpoints {
		if isEligible(e, need) && !e.paused(now) {
			eligible = append(eligible, e)
		}
	}
	if len(eligible) == 0 {
		return nil
	}
	if s := chooseLeastWork(eligible, need.Prompt, rng); s != nil {
		return s
	}
	start := rng.IntN(len(eligible))
	for i := range eligible {
		e := eligible[(start+i)%len(eligible)]
		matched := e.cache.matchPrefix(need.Prompt.Keys)
		if e.admitsPrefill(need.Prompt.tokensToPrefill(matched)) && e.acquire() {
			return newSlot(e, need.Prompt, matched, Left)
		}
	}
	return nil
}

// chooseLeastWork takes a slot at the candidate with the least expected work that has room, or returns nil if none has.
func chooseLeastWork(eligible []*Endpoint, p Prompt, rng *rand.Rand) *Slot {
	var buf [maxCandidates]candidate
	candidates := selectCandidates(buf[:0], eligible, p, rng)
	maxMatched := 0
	for _, c := range candidates {
		maxMatched = max(maxMatched, c.matchedBlocks)
	}
	for len(candidates) > 0 {
		best := 0
		for i := range candidates {
			if candidates[i].betterThan(candidates[best]) {
				best = i
			}
		}
		c := candidates[best]
		if c.endpoint.admitsPrefill(p.tokensToPrefill(c.matchedBlocks)) && c.endpoint.acquire() {
			return newSlot(c.endpoint, p, c.matchedBlocks, c.placementReason(maxMatched))
		}
		candidates[best] = candidates[len(candidates)-1]
		candidates = candidates[:len(candidates)-1]
	}
	return nil
}

// newSlot returns the slot for a successful acquire, adds its prefill to the endpoint's pending prefill and records the prompt
// in the endpoint's cache estimate.
func newSlot(e *Endpoint, p Prompt, matchedBlocks int, reason Reason) *Slot {
	s := &Slot{Endpoint: e, Reason: reason, prefillTokens: int64(p.tokensToPrefill(matchedBlocks))}
	e.pendingPrefill.Add(s.prefillTokens)
	e.cache.record(p.Keys)
	return s
}

// selectCandidates appends the endpoints to compare: the first ones by rendezvous hashing and random others, or all of them if
// there are few. A prompt without block keys gets random ones only. It reorders eligible.
func selectCandidates(candidates []candidate, eligible []*Endpoint, p Prompt, rng *rand.Rand) []candidate {
	conversation := p.conversation()
	limit := maxCandidates
	if conversation == 0 {
		limit = candidatesWithoutPrompt
	} else if len(eligible) > limit {
		moveRendezvousFirst(eligible, conversation)
	}
	for i := range min(limit, len(eligible)) {
		if len(eligible) > limit && (conversation == 0 || i >= rendezvousCandidates) {
			j := i + rng.IntN(len(eligible)-i)
			eligible[i], eligible[j] = eligible[j], eligible[i]
		}
		candidates = append(candidates, newCandidate(eligible[i], p, conversation, rng))
	}
	return candidates
}

// moveRendezvousFirst moves the endpoints with the highest rendezvous weights to the front.
func moveRendezvousFirst(eligible []*Endpoint, conversation promptblock.Key) {
	for i := range rendezvousCandidates {
		first := i
		for j := i + 1; j < len(eligible); j++ {
			if rendezvousWeight(conversation, eligible[j].State().Endpoint) > rendezvousWeight(conversation, eligible[first].State().Endpoint) {
				first = j
			}
		}
		eligible[i], eligible[first] = eligible[first], eligible[i]
	}
}

func newCandidate(e *Endpoint, p Prompt, conversation promptblock.Key, rng *rand.Rand) candidate {
	c := candidate{endpoint: e, matchedBlocks: e.cache.matchPrefix(p.Keys)}
	c.workTokens = e.pendingPrefill.Load() + int64(e.InFlight())*inFlightCostTokens + int64(p.tokensToPrefill(c.matchedBlocks))
	if conversation == 0 {
		c.tieBreak = rng.Uint64()
	} else {
		c.tieBreak = rendezvousWeight(conversation, e.State().Endpoint)
	}
	return c
}

// betterThan reports whether c has less expected work than other; tieBreak decides if both have the same.
func (c candidate) betterThan(other candidate) bool {
	if c.workTokens != other.workTokens {
		return c.workTokens < other.workTokens
	}
	return c.tieBreak > other.tieBreak
}

// placementReason returns why the candidate was chosen, given the most blocks that any candidate matched.
func (c candidate) placementReason(maxMatched int) Reason {
	switch {
	case c.matchedBlocks < maxMatched:
		return Shed
	case c.matchedBlocks > 0:
		return Cached
	}
	return Spread
}

// CountEligible counts the eligible endpoints, including those that are paused after a failure.
func CountEligible(endpoints []*Endpoint, need Need) int {
	n := 0
	for _, e := range endpoints {
		if isEligible(e, need) {
			n++
		}
	}
	return n
}

// AnyUnpaused reports whether at least one eligible endpoint is not paused after a failure.
func AnyUnpaused(endpoints []*Endpoint, need Need, now time.Time) bool {
	for _, e := range endpoints {
		if isEligible(e, need) && !e.paused(now) {
			return true
		}
	}
	return false
}

func isEligible(e *Endpoint, need Need) bool {
	if !e.usable() {
		return false
	}
	state := e.state.Load()
	if need.ExcludeCheap && state.Cheap {
		return false
	}
	for _, id := range need.Excluded {
		if id == state.Endpoint {
			return false
		}
	}
	return true
}

// Release frees one of the endpoint's slots.
func (e *Endpoint) Release() {
	e.inFlight.Add(-1)
}

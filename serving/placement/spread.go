package placement

import (
	"math"
	"time"

	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
)

// The choice among the engines of a contended service. Load reports are up to 500 ms old, and all instances have the same ones. With the least
// cost over all engines, the overloaded engines' prompts of all instances go to the same few idle ones, which then read parts that other
// engines have cached. The choice is therefore among a few engines that differ from prefix to prefix. docs/design/placement.md has the
// measurements behind the constants.
const (
	// candidates is how many engines, the first in the rendezvous order of a prompt's shared parts, are considered.
	candidates = 8
	// maxReadMillis bounds the time to read the shared parts from which the costs below are computed.
	maxReadMillis = 400.0
	// minNoiseMillis is the least mean of the noise.
	minNoiseMillis = 10.0
	// The costs are multiples of the time to read the shared parts. An engine other than the first that does not have them cached costs missReads,
	// and rankReads for each rank, divided by the number of candidates that have them: a further copy of a prefix that is in great demand
	// matters less. One that has them cached costs cachedRankReads for each rank.
	missReads       = 3.0
	rankReads       = 0.3
	cachedRankReads = 0.05
	// noiseReads is the mean of the random noise, in the same unit. It keeps instances with the same reports from choosing the same engine.
	noiseReads = 0.5
	// widenMillis is the least cost of all candidates beyond which one of widenShare prompts may go to any other engine in the same stage. That engine then
	// counts as a candidate while it has the shared parts cached, so that a prefix gets as many engines as it needs, a few at a time.
	widenMillis = 400.0
	widenShare  = 32
	// widenNoise is the mean of the noise among these engines, as a multiple of that among candidates.
	widenNoise = 4
	// sampledNear and sampledFar are how many decode engines are considered in the failure domain of the KV cache and in others. With reports that are
	// older than most requests last, more than two make all instances choose the same engines.
	sampledNear = 2
	sampledFar  = 1
)

// ranking holds the first engines in the rendezvous order of a key.
type ranking struct {
	engines [candidates]*roster.Endpoint
	weights [candidates]uint64
	n       int
}

// add adds an engine if it is among the first limit.
func (r *ranking) add(e *roster.Endpoint, weight uint64, limit int) {
	if r.n == limit {
		if weight <= r.weights[limit-1] {
			return
		}
		r.n--
	}
	i := r.n
	for ; i > 0 && weight > r.weights[i-1]; i-- {
		r.engines[i], r.weights[i] = r.engines[i-1], r.weights[i-1]
	}
	r.engines[i], r.weights[i] = e, weight
	r.n++
}

// rank returns the rank of an engine from 0, or candidates if it is not among the first.
func (r *ranking) rank(e *roster.Endpoint) int {
	for i, x := range r.engines[:r.n] {
		if x == e {
			return i
		}
	}
	return candidates
}

// prefixCost computes the costs of a choice for one prompt, in milliseconds.
type prefixCost struct {
	// key determines the rendezvous order.
	key uint64
	// shared is the number of the prompt's shared parts, copies that of the candidates that have them cached.
	shared, copies int
	// read is the nominal time to read the shared parts, at most maxReadMillis; noise is the mean of the noise.
	read, noise float64
}

// newPrefixCost returns the costs for a prompt. A prompt without parts has a random order of the engines.
func newPrefixCost(p *Prompt, need Need, rate float64) prefixCost {
	c := prefixCost{key: uint64(p.SharedPrefix()), shared: min(len(p.IDs), max(len(p.IDs)-1, 1))}
	if c.shared == 0 {
		c.key = need.TieBreak
	}
	tokens := 0
	for _, part := range p.Parts[:c.shared] {
		tokens += part.Tokens
	}
	c.read = min(max(float64(tokens)/rate, 0), maxReadMillis)
	c.noise = max(noiseReads*c.read, minNoiseMillis)
	return c
}

// countCopies sets copies.
func (c *prefixCost) countCopies(first *ranking, p *Prompt, now time.Time) {
	if c.shared == 0 {
		return
	}
	for _, e := range first.engines[:first.n] {
		if c.cached(e.CachedParts(p.IDs, now)) {
			c.copies++
		}
	}
}

// of returns the cost of an engine's rank.
func (c *prefixCost) of(rank int, cached bool) float64 {
	switch {
	case cached:
		return cachedRankReads * float64(rank) * c.read
	case rank > 0:
		return (missReads + rankReads*float64(rank)) * c.read / float64(max(c.copies, 1))
	}
	return 0
}

// spreadPrefill returns the engine of a contended service that is to prefill a prompt, or nil for an empty list.
func spreadPrefill(eligible []*roster.Endpoint, p *Prompt, need Need, rate float64, now time.Time) *roster.Endpoint {
	c := newPrefixCost(p, need, rate)
	var first ranking
	for _, e := range eligible {
		first.add(e, rendezvousWeight(c.key, e), candidates)
	}
	c.countCopies(&first, p, now)
	var best *roster.Endpoint
	bestCost := math.Inf(1)
	for _, e := range eligible {
		parts, rank := e.CachedParts(p.IDs, now), first.rank(e)
		if rank == candidates && !c.cached(parts) {
			continue
		}
		if cost := c.total(e, p, need, rank, parts, rate, now); cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if bestCost <= widenMillis || need.TieBreak%widenShare != 0 {
		return best
	}
	c.noise *= widenNoise
	for _, e := range eligible {
		parts := e.CachedParts(p.IDs, now)
		if c.cached(parts) || first.rank(e) < candidates {
			continue
		}
		if cost := c.total(e, p, need, candidates, parts, rate, now); cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// cached reports whether an engine that has the first parts of the prompt cached has all shared ones.
func (c *prefixCost) cached(parts int) bool {
	return c.shared > 0 && parts >= c.shared
}

// total returns the cost of an engine with its rank and noise, given how many parts of the prompt it has cached.
func (c *prefixCost) total(e *roster.Endpoint, p *Prompt, need Need, rank, parts int, rate float64, now time.Time) float64 {
	cost := engineMillis(e, p.UncachedTokens(parts), rate*e.Speed(now)) + c.of(rank, c.cached(parts)) + c.noise*exponential(need.TieBreak, e)
	if e.Entry().Domain != need.Near {
		cost += crossDomainMillis
	}
	return cost
}

// spreadDecode returns the engine of a contended service that decodes from a KV cache in a failure domain: the one with the least cost among
// a few that are drawn at random, most of them in that domain. It returns nil for an empty list.
func spreadDecode(eligible []*roster.Endpoint, domain wire.DomainName, tieBreak uint64, now time.Time) *roster.Endpoint {
	var near, far ranking
	for _, e := range eligible {
		if e.Entry().Domain == domain {
			near.add(e, rendezvousWeight(tieBreak, e), sampledNear)
		} else {
			far.add(e, rendezvousWeight(tieBreak, e), sampledFar)
		}
	}
	var best *roster.Endpoint
	bestCost := math.Inf(1)
	for _, e := range near.engines[:near.n] {
		if cost := engineMillis(e, 0, decodePrefillRate*e.Speed(now)); cost < bestCost {
			best, bestCost = e, cost
		}
	}
	for _, e := range far.engines[:far.n] {
		if cost := engineMillis(e, 0, decodePrefillRate*e.Speed(now)) + crossDomainMillis; cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// exponential returns a random number from an exponential distribution with the mean 1, which depends on a key and an engine only.
func exponential(key uint64, e *roster.Endpoint) float64 {
	// The multiplication makes the number independent of the rendezvous order of the same key.
	h := rendezvousWeight(key*0x9e3779b97f4a7c15+1, e)
	return -math.Log((float64(h>>11) + 0.5) / (1 << 53))
}

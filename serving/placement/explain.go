package placement

import (
	"cmp"
	"slices"
	"time"

	"cowslipshunt.example/serving/roster"
)

// Cost is the cost of one engine for a prompt.
type Cost struct {
	Endpoint *roster.Endpoint
	// Rank is the engine's rank in the rendezvous order of the prompt's shared parts, from 0, or -1 if that is not considered.
	Rank int
	// Candidate is set if the engine is considered in any case, and not only once all candidates are overloaded.
	Candidate bool
	// Uncached is how many tokens of the prompt the engine probably has to prefill.
	Uncached int
	// Prefill is the estimated time until the prompt is prefilled, Cost that with what is added for the engine's rank and failure domain. The
	// random noise of contended services is not part of it.
	Prefill, Cost time.Duration
}

// Costs returns the costs of the engines among which ChoosePrefill, or ChooseDecode for a need of that stage, chooses for a prompt. The lowest
// are first. It changes nothing.
func Costs(eligible []*roster.Endpoint, p *Prompt, need Need, now time.Time) []Cost {
	rate := prefillRate
	if need.Stage == roster.Decode {
		rate = decodePrefillRate
	}
	c := newPrefixCost(p, need, rate)
	var first ranking
	for _, e := range eligible {
		first.add(e, rendezvousWeight(c.key, e), candidates)
	}
	c.countCopies(&first, p, now)
	list := make([]Cost, 0, len(eligible))
	for _, e := range eligible {
		parts := e.CachedParts(p.IDs, now)
		cached := c.cached(parts)
		rank := first.rank(e)
		x := Cost{Endpoint: e, Rank: rank, Candidate: !need.Contended || rank < candidates || cached, Uncached: p.UncachedTokens(parts)}
		engineRate := rate
		if need.Contended {
			engineRate *= e.Speed(now)
		}
		millis := engineMillis(e, x.Uncached, engineRate)
		x.Prefill = toDuration(millis)
		switch {
		case need.Contended:
			millis += c.of(rank, cached)
		case rank > 0:
			millis += affinityMillis
		}
		if e.Entry().Domain != need.Near {
			millis += crossDomainMillis
		}
		x.Cost = toDuration(millis)
		if rank == candidates {
			x.Rank = -1
		}
		list = append(list, x)
	}
	slices.SortStableFunc(list, func(a, b Cost) int { return cmp.Compare(a.Cost, b.Cost) })
	return list
}

// toDuration converts milliseconds to a duration.
func toDuration(millis float64) time.Duration {
	return time.Duration(millis * float64(time.Millisecond))
}

package placement

import (
	"time"

	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
)

// Speeds of engines and costs of a choice. The figures are from the users' data sheets and the platform's documentation.
const (
	// prefillRate is how many tokens a prefill engine prefills in a millisecond.
	prefillRate = 51.1
	// decodePrefillRate is how many tokens a decode engine prefills in a millisecond: half as many.
	decodePrefillRate = prefillRate / 2
	// affinityMillis is the cost of not choosing the first engine in the rendezvous order of a prompt's shared parts. All
	// instances compute the same order, so that they send prompts with the same shared parts to the same engine.
	affinityMillis = 300.0
	// crossDomainMillis is the cost of the latency to another failure domain.
	crossDomainMillis = 10.0
	// batchMillis is the delay that each further request in an engine's batch causes for the others.
	batchMillis = 1.0
)

// ChoosePrefill returns the prefill engine that is expected to complete the prompt's prefill first, or nil for an empty list. The
// estimate counts the tokens queued at the engine and those of the prompt that it does not have cached. The costs of another
// failure domain and of an engine that is not the first in the rendezvous order are added.
func ChoosePrefill(eligible []*roster.Endpoint, p *Prompt, need Need, now time.Time) *roster.Endpoint {
	return soonestPrefill(eligible, p, need, prefillRate, now)
}

// ChooseDecode returns the decode engine that is expected to generate first if it prefills the prompt itself, or nil for an empty
// list. It adds the same costs as ChoosePrefill.
func ChooseDecode(eligible []*roster.Endpoint, p *Prompt, need Need, now time.Time) *roster.Endpoint {
	return soonestPrefill(eligible, p, need, decodePrefillRate, now)
}

// PrefillTime returns the estimated time until an engine of a contended service has prefilled a prompt, after everything that is queued there.
// It goes by the learned speed of the engine.
func PrefillTime(e *roster.Endpoint, p *Prompt, now time.Time) time.Duration {
	return toDuration(prefillMillis(e, p, nominalRate(e)*e.Speed(now), now))
}

// QueueTime returns the estimated time until an engine of a contended service has done what is queued there, without the prompt of the request
// itself.
func QueueTime(e *roster.Endpoint, now time.Time) time.Duration {
	return PrefillTime(e, &Prompt{}, now)
}

// NominalPrefillTime is PrefillTime for an engine of a service that is not contended. It goes by the nominal speed: the engine may have a
// learned one from peers with another configuration, or from the time before a change of the configuration.
func NominalPrefillTime(e *roster.Endpoint, p *Prompt, now time.Time) time.Duration {
	return toDuration(prefillMillis(e, p, nominalRate(e), now))
}

// nominalRate returns the nominal prefill rate of an engine in tokens per millisecond.
func nominalRate(e *roster.Endpoint) float64 {
	if e.Entry().Stage == roster.Decode {
		return decodePrefillRate
	}
	return prefillRate
}

// prefillMillis returns the estimated time in milliseconds until an engine has prefilled a prompt, for its prefill rate in tokens per
// millisecond.
func prefillMillis(e *roster.Endpoint, p *Prompt, rate float64, now time.Time) float64 {
	return engineMillis(e, p.UncachedTokens(e.CachedParts(p.IDs, now)), rate)
}

// engineMillis returns the estimated time in milliseconds until an engine has prefilled a number of tokens, after everything that is queued
// there, for its prefill rate in tokens per millisecond.
func engineMillis(e *roster.Endpoint, tokens int, rate float64) float64 {
	return float64(e.PrefillLoad()+tokens)/rate + batchMillis*float64(e.InFlight())
}

// soonestPrefill returns the engine with the lowest cost: its prefill time, plus affinityMillis unless it is the first in the
// rendezvous order of the prompt's shared parts, plus crossDomainMillis if it is outside the near failure domain. For contended services
// it returns what spreadPrefill does.
func soonestPrefill(eligible []*roster.Endpoint, p *Prompt, need Need, rate float64, now time.Time) *roster.Endpoint {
	if need.Contended {
		return spreadPrefill(eligible, p, need, rate, now)
	}
	return leastCost(eligible, uint64(p.SharedPrefix()), func(e *roster.Endpoint, first bool) float64 {
		cost := prefillMillis(e, p, rate, now)
		if !first {
			cost += affinityMillis
		}
		if e.Entry().Domain != need.Near {
			cost += crossDomainMillis
		}
		return cost
	})
}

// ChooseDecodeNearCache returns the engine that decodes from a KV cache which a prefill engine of the given failure domain holds,
// or nil for an empty list. It is the least loaded one, where an engine of another failure domain costs crossDomainMillis more.
func ChooseDecodeNearCache(eligible []*roster.Endpoint, p *Prompt, domain wire.DomainName) *roster.Endpoint {
	return leastCost(eligible, uint64(p.SharedPrefix()), func(e *roster.Endpoint, _ bool) float64 {
		cost := float64(e.PrefillLoad())/decodePrefillRate + batchMillis*float64(e.InFlight())
		if e.Entry().Domain != domain {
			cost += crossDomainMillis
		}
		return cost
	})
}

// ChooseDecodeNearSource is ChooseDecodeNearCache for a need, which may be that of a contended service.
func ChooseDecodeNearSource(eligible []*roster.Endpoint, p *Prompt, need Need, domain wire.DomainName, now time.Time) *roster.Endpoint {
	if need.Contended {
		return spreadDecode(eligible, domain, need.TieBreak, now)
	}
	return ChooseDecodeNearCache(eligible, p, domain)
}

package fleet

import (
	"slices"

	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/serving/route"
	"cowslipshunt.example/wire"
)

// backlogSmoothing is the weight of the previous smoothed backlog in the exponential moving average, which is updated every half
// second.
const backlogSmoothing = 0.7

// Target is the number of spot or on-demand endpoints that a service should have in a failure domain.
type Target struct {
	Service wire.ServiceName
	Domain  wire.DomainName
	Spot    bool
	Count   int
}

// Scaler decides how many endpoints of one service are ordered. It is not safe for concurrent use.
type Scaler struct {
	policy Policy
	// spotShortage are the failure domains in which spot endpoints were reclaimed, or an order of them was refused, since at least
	// half of the target number were last listed.
	spotShortage map[wire.DomainName]bool
	// evaluated are the failure domains for which the scaler has computed replacements before.
	evaluated map[wire.DomainName]bool
	// backlog is the smoothed mean number of tokens not yet prefilled at each prefill engine.
	backlog float64
}

// NewScaler returns a Scaler that has recorded no shortage of spot endpoints.
func NewScaler(p Policy) *Scaler {
	return &Scaler{policy: p, spotShortage: map[wire.DomainName]bool{}, evaluated: map[wire.DomainName]bool{}}
}

// SpotRefused records that an order of spot endpoints in a failure domain was refused because none are available.
func (s *Scaler) SpotRefused(d wire.DomainName) {
	s.spotShortage[d] = true
}

// Plan returns the target numbers of endpoints in each failure domain, given the listed ones. Spot endpoints cost a fraction of
// on-demand ones, so they serve most of the load while they are available. If spot endpoints are missing while requests queue up,
// on-demand ones replace only some of them, so that spot endpoints can return to the other places. Plan returns nil for a service
// without Scale. Each call updates the smoothed backlog.
func (s *Scaler) Plan(service *route.Service, list []*roster.Endpoint, domains []wire.DomainName) []Target {
	s.backlog = backlogSmoothing*s.backlog + (1-backlogSmoothing)*backlog(list)
	if service.Scale == nil {
		return nil
	}
	var targets []Target
	for _, d := range domains {
		onDemand := min(max(s.policy.OnDemand, service.Scale.Min), service.Scale.Max)
		spot := 0
		if service.Scale.SpotPrice > 0 {
			spot = service.Scale.Max - onDemand
			onDemand += s.replacements(list, d, spot)
		}
		targets = append(targets, Target{Service: service.Name, Domain: d, Count: onDemand}, Target{Service: service.Name, Domain: d, Spot: true, Count: spot})
	}
	return targets
}

// replacements returns how many on-demand endpoints should replace missing spot ones in a failure domain with a target of
// targetSpot spot endpoints.
func (s *Scaler) replacements(list []*roster.Endpoint, d wire.DomainName, targetSpot int) int {
	listedSpot := CountListed(list, d, true)
	hasReplacements := CountListed(list, d, false) > s.policy.OnDemand
	first := !s.evaluated[d]
	s.evaluated[d] = true
	switch {
	case first && hasReplacements && 2*listedSpot < targetSpot && slices.ContainsFunc(list, func(e *roster.Endpoint) bool { return e.Entry().Spot }):
		// The service has spot endpoints, so it has been running, and a previous lease holder must have ordered the surplus on-demand
		// ones as replacements. Keep them.
		s.spotShortage[d] = true
	case spotLeaving(list, d):
		s.spotShortage[d] = true
	case 2*listedSpot >= targetSpot:
		s.spotShortage[d] = false
	}
	if !s.spotShortage[d] {
		return 0
	}
	if !hasReplacements && s.backlog < s.policy.ReplacementBacklog {
		return 0
	}
	return int(s.policy.ReplacementShare * float64(targetSpot-listedSpot))
}

// CountListed returns how many spot or on-demand endpoints in a failure domain are listed and not leaving.
func CountListed(list []*roster.Endpoint, d wire.DomainName, spot bool) int {
	n := 0
	for _, e := range list {
		if entry := e.Entry(); entry.Domain == d && entry.Spot == spot && !e.Leaving() {
			n++
		}
	}
	return n
}

// spotLeaving reports whether a spot endpoint of a failure domain is leaving.
func spotLeaving(list []*roster.Endpoint, d wire.DomainName) bool {
	for _, e := range list {
		if entry := e.Entry(); entry.Domain == d && entry.Spot && e.Leaving() {
			return true
		}
	}
	return false
}

// backlog returns the mean number of tokens not yet prefilled at each prefill engine.
func backlog(list []*roster.Endpoint) float64 {
	tokens, engines := 0, 0
	for _, e := range list {
		if e.Entry().Stage == roster.Prefill {
			tokens += e.PrefillLoad()
			engines++
		}
	}
	return float64(tokens) / float64(max(engines, 1))
}

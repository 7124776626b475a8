// Package fleet decides how many endpoints are ordered in each failure domain, and which engines prefill and which decode.
package fleet

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
)

// Policy determines the numbers and stages of endpoints.
type Policy struct {
	// OnDemand is the target number of on-demand endpoints in each failure domain. The rest of the service's maximum is the target
	// for spot endpoints.
	OnDemand int
	// ReplacementShare is the fraction of missing spot endpoints that are replaced by on-demand ones.
	ReplacementShare float64
	// ReplacementBacklog is the backlog from which replacements are ordered: the smoothed mean number of tokens not yet prefilled at
	// each prefill engine.
	ReplacementBacklog float64
	// PrefillShare is the fraction of a failure domain's engines that prefill.
	PrefillShare float64
}

// DefaultPolicy is the policy of all services. docs/policy.md has the runs that its figures come from.
var DefaultPolicy = Policy{OnDemand: 1, ReplacementShare: 0.5, ReplacementBacklog: 5000, PrefillShare: 0.65}

// StageChange is an engine that should be moved to another stage.
type StageChange struct {
	Endpoint *roster.Endpoint
	To       roster.Stage
}

// StageChanges returns the engines whose stage should change, at most one in each failure domain, ordered by id. The result
// depends only on the list of endpoints, so that all instances with the same list compute the same changes.
func (p Policy) StageChanges(list []*roster.Endpoint) []StageChange {
	domains := map[wire.DomainName][]*roster.Endpoint{}
	for _, e := range list {
		if entry := e.Entry(); entry.Stage != roster.NoStage && !e.Leaving() {
			domains[entry.Domain] = append(domains[entry.Domain], e)
		}
	}
	var changes []StageChange
	for _, engines := range domains {
		if c, ok := p.domainChange(engines); ok {
			changes = append(changes, c)
		}
	}
	slices.SortFunc(changes, func(a, b StageChange) int {
		return strings.Compare(string(a.Endpoint.Entry().ID), string(b.Endpoint.Entry().ID))
	})
	return changes
}

// domainChange returns the next change among the engines of one failure domain, or false if there is none. A prefill engine
// changes to decode only at a surplus of two or if none decodes, so that a single engine that leaves does not move the others
// back and forth.
func (p Policy) domainChange(engines []*roster.Endpoint) (StageChange, bool) {
	prefill := 0
	for _, e := range engines {
		if e.Entry().Stage == roster.Prefill {
			prefill++
		}
	}
	n := len(engines)
	target := int(math.Round(p.PrefillShare * float64(n)))
	if n > 1 {
		target = min(max(target, 1), n-1)
	}
	switch {
	case prefill < target:
		return changeYoungest(engines, roster.Decode, roster.Prefill)
	case prefill > target+1 || prefill == n && n > 1:
		return changeYoungest(engines, roster.Prefill, roster.Decode)
	}
	return StageChange{}, false
}

// changeYoungest returns the change of the youngest engine of a stage, which loses the least KV cache by it. It returns false if
// no engine has the stage.
func changeYoungest(engines []*roster.Endpoint, from, to roster.Stage) (StageChange, bool) {
	var candidates []*roster.Endpoint
	for _, e := range engines {
		if e.Entry().Stage == from {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		return StageChange{}, false
	}
	youngest := slices.MaxFunc(candidates, func(a, b *roster.Endpoint) int {
		return cmp.Or(cmp.Compare(a.Entry().Born, b.Entry().Born), strings.Compare(string(a.Entry().ID), string(b.Entry().ID)))
	})
	return StageChange{Endpoint: youngest, To: to}, true
}

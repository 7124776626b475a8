// Package fleet decides how many endpoints are ordered and which stage each engine has.
package fleet

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
)

// Policy is what the numbers and stages of endpoints go by.
type Policy struct {
	// Steady are the steady endpoints that are wanted in each failure domain; the service's other places go to spot ones.
	Steady int
	// StandIns is the share of missing spot endpoints that steady ones stand in for, StandInBacklog the tokens that have to
	// wait at each prefill engine for that.
	StandIns       float64
	StandInBacklog float64
	// PrefillShare is the share of a failure domain's engines that prefill.
	PrefillShare float64
}

// DefaultPolicy is the policy of services that set no other. The figures come from the days of docs/policy.md.
var DefaultPolicy = Policy{Steady: 1, StandIns: 0.5, StandInBacklog: 5000, PrefillShare: 0.65}

// Change is an engine that should get another stage.
type Change struct {
	Endpoint *roster.Endpoint
	To       roster.Stage
}

// Changes returns the engines whose stage should change, at most one for each failure domain. It goes by the list of
// endpoints only, so that all instances that see the same list find the same.
func (p Policy) Changes(list []*roster.Endpoint) []Change {
	domains := map[wire.DomainName][]*roster.Endpoint{}
	for _, e := range list {
		if entry := e.Entry(); entry.Stage != roster.NoStage && !entry.Leaving {
			domains[entry.Domain] = append(domains[entry.Domain], e)
		}
	}
	var changes []Change
	for _, engines := range domains {
		if c, ok := p.change(engines); ok {
			changes = append(changes, c)
		}
	}
	slices.SortFunc(changes, func(a, b Change) int {
		return strings.Compare(string(a.Endpoint.Entry().ID), string(b.Endpoint.Entry().ID))
	})
	return changes
}

// change returns the engine of one failure domain that should change first. A surplus of prefill engines has to be two for a
// change back, so that one that leaves does not swing the others.
func (p Policy) change(engines []*roster.Endpoint) (Change, bool) {
	prefill := 0
	for _, e := range engines {
		if e.Entry().Stage == roster.Prefill {
			prefill++
		}
	}
	n := len(engines)
	want := int(math.Round(p.PrefillShare * float64(n)))
	if n > 1 {
		want = min(max(want, 1), n-1)
	}
	switch {
	case prefill < want:
		return pick(engines, roster.Decode, roster.Prefill)
	case prefill > want+1 || prefill == n && n > 1:
		return pick(engines, roster.Prefill, roster.Decode)
	}
	return Change{}, false
}

// pick takes the youngest engine of a stage: it has the least in its memory.
func pick(engines []*roster.Endpoint, from, to roster.Stage) (Change, bool) {
	var of []*roster.Endpoint
	for _, e := range engines {
		if e.Entry().Stage == from {
			of = append(of, e)
		}
	}
	if len(of) == 0 {
		return Change{}, false
	}
	youngest := slices.MaxFunc(of, func(a, b *roster.Endpoint) int {
		return cmp.Or(cmp.Compare(a.Entry().Born, b.Entry().Born), strings.Compare(string(a.Entry().ID), string(b.Entry().ID)))
	})
	return Change{Endpoint: youngest, To: to}, true
}

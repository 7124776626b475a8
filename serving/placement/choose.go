package placement

import (
	"encoding/binary"
	"slices"
	"time"

	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
	"github.com/cespare/xxhash/v2"
)

// Need states which endpoints a request can be sent to, and which of them it prefers.
type Need struct {
	Stage roster.Stage
	// Near is the preferred failure domain.
	Near wire.DomainName
	// Excluded holds the endpoints that failed or rejected the request.
	Excluded []wire.EndpointId
	// OnDemandOnly excludes spot endpoints.
	OnDemandOnly bool
	// Contended is set for a contended service: the choice then allows for load reports that are old, and for engines of unequal speed.
	Contended bool
	// TieBreak is a random number of the request.
	TieBreak uint64
}

// Eligible returns the endpoints of a list that meet the need and are available now.
func Eligible(list []*roster.Endpoint, need Need, now time.Time) []*roster.Endpoint {
	eligible := make([]*roster.Endpoint, 0, len(list))
	for _, e := range list {
		entry := e.Entry()
		if entry.Stage != need.Stage || need.OnDemandOnly && entry.Spot || slices.Contains(need.Excluded, entry.ID) || !e.Available(now) {
			continue
		}
		eligible = append(eligible, e)
	}
	return eligible
}

// crossDomainRequests is how many requests in flight cost as much as the latency to another failure domain.
const crossDomainRequests = 2

// LeastBusy returns the endpoint with the fewest requests in flight, where an endpoint outside the preferred failure domain
// counts as having crossDomainRequests more. Ties are broken by the rendezvous order of a random key. It returns nil for an empty
// list.
func LeastBusy(eligible []*roster.Endpoint, need Need, tieBreak uint64) *roster.Endpoint {
	return leastCost(eligible, tieBreak, func(e *roster.Endpoint, _ bool) float64 {
		cost := float64(e.InFlight())
		if e.Entry().Domain != need.Near {
			cost += crossDomainRequests
		}
		return cost
	})
}

// leastCost returns the endpoint with the lowest cost, or nil for an empty list. The cost function is told whether the endpoint
// is the first in the rendezvous order of the key. Ties are broken by that order.
func leastCost(eligible []*roster.Endpoint, key uint64, cost func(e *roster.Endpoint, first bool) float64) *roster.Endpoint {
	first, firstWeight := -1, uint64(0)
	for i, e := range eligible {
		if w := rendezvousWeight(key, e); first < 0 || w > firstWeight {
			first, firstWeight = i, w
		}
	}
	var best *roster.Endpoint
	bestCost, bestWeight := 0.0, uint64(0)
	for i, e := range eligible {
		c := cost(e, i == first)
		if best != nil && c > bestCost {
			continue
		}
		if w := rendezvousWeight(key, e); best == nil || c < bestCost || w > bestWeight {
			best, bestCost, bestWeight = e, c, w
		}
	}
	return best
}

// rendezvousWeight returns the weight of an endpoint for a key. The rendezvous order begins with the highest weight.
func rendezvousWeight(key uint64, e *roster.Endpoint) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], key)
	binary.LittleEndian.PutUint64(b[8:], e.Hash())
	return xxhash.Sum64(b[:])
}

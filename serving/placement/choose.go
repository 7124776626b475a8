package placement

import (
	"encoding/binary"
	"slices"
	"time"

	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
	"github.com/cespare/xxhash/v2"
)

// Need says which endpoints suit a request.
type Need struct {
	Stage roster.Stage
	// Near is the failure domain that is preferred.
	Near wire.DomainName
	// Not holds endpoints that this request has failed on.
	Not []wire.EndpointId
	// Steady leaves spot endpoints out.
	Steady bool
}

// Suited returns the endpoints that may take a request now.
func Suited(list []*roster.Endpoint, need Need, now time.Time) []*roster.Endpoint {
	suited := make([]*roster.Endpoint, 0, len(list))
	for _, e := range list {
		entry := e.Entry()
		if entry.Stage != need.Stage || need.Steady && entry.Spot || slices.Contains(need.Not, entry.ID) || !e.Open(now) {
			continue
		}
		suited = append(suited, e)
	}
	return suited
}

// farRequests is how many requests in flight weigh as much as the way to another failure domain.
const farRequests = 2

// LeastBusy returns the endpoint with the fewest requests, with those of the preferred failure domain first. Ties go by the
// request's draw. It returns nil if nothing suits.
func LeastBusy(suited []*roster.Endpoint, need Need, draw uint64) *roster.Endpoint {
	return least(suited, draw, func(e *roster.Endpoint, _ bool) float64 {
		cost := float64(e.InFlight())
		if e.Entry().Domain != need.Near {
			cost += farRequests
		}
		return cost
	})
}

// least returns the endpoint with the least cost, which may go by whether the endpoint is the first in the rendezvous order of a
// key. Ties go by that order.
func least(suited []*roster.Endpoint, key uint64, cost func(e *roster.Endpoint, first bool) float64) *roster.Endpoint {
	first, firstWeight := -1, uint64(0)
	for i, e := range suited {
		if w := rendezvous(key, e); first < 0 || w > firstWeight {
			first, firstWeight = i, w
		}
	}
	var best *roster.Endpoint
	bestCost, bestWeight := 0.0, uint64(0)
	for i, e := range suited {
		c := cost(e, i == first)
		if best != nil && c > bestCost {
			continue
		}
		if w := rendezvous(key, e); best == nil || c < bestCost || w > bestWeight {
			best, bestCost, bestWeight = e, c, w
		}
	}
	return best
}

// rendezvous weighs an endpoint for a key; the highest weight is first.
func rendezvous(key uint64, e *roster.Endpoint) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], key)
	binary.LittleEndian.PutUint64(b[8:], e.Hash())
	return xxhash.Sum64(b[:])
}

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
	return least(suited, draw, func(e *roster.Endpoint, _ int) float64 {
		cost := float64(e.InFlight())
		if e.Entry().Domain != need.Near {
			cost += farRequests
		}
		return cost
	})
}

// least returns the endpoint with the least cost, which may go by the endpoint's place in the rendezvous order of a key: 0
// is the first. Ties go by that order.
func least(suited []*roster.Endpoint, key uint64, cost func(e *roster.Endpoint, place int) float64) *roster.Endpoint {
	type ranked struct {
		e      *roster.Endpoint
		weight uint64
	}
	order := make([]ranked, 0, len(suited))
	for _, e := range suited {
		order = append(order, ranked{e: e, weight: rendezvous(key, e.Entry().ID)})
	}
	slices.SortFunc(order, func(a, b ranked) int {
		if a.weight > b.weight {
			return -1
		}
		return 1
	})
	var best *roster.Endpoint
	bestCost := 0.0
	for place, r := range order {
		if c := cost(r.e, place); best == nil || c < bestCost {
			best, bestCost = r.e, c
		}
	}
	return best
}

// rendezvous weighs an endpoint for a key; the highest weight is first.
func rendezvous(key uint64, id wire.EndpointId) uint64 {
	digest := xxhash.New()
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], key)
	_, _ = digest.Write(b[:])
	_, _ = digest.WriteString(string(id))
	return digest.Sum64()
}

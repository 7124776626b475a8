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

// LeastBusy returns the endpoint with the fewest of this instance's requests, with those of the preferred failure domain
// first. Ties go by the request's draw. It returns nil if nothing suits.
func LeastBusy(suited []*roster.Endpoint, need Need, draw uint64) *roster.Endpoint {
	var best *roster.Endpoint
	bestCost, bestWeight := 0, uint64(0)
	for _, e := range suited {
		cost := e.InFlight()
		if e.Entry().Domain != need.Near {
			cost += farRequests
		}
		weight := rendezvous(draw, e.Entry().ID)
		if best == nil || cost < bestCost || cost == bestCost && weight > bestWeight {
			best, bestCost, bestWeight = e, cost, weight
		}
	}
	return best
}

// Bounds of the load that an endpoint takes by affinity before the next one in rendezvous order gets the request.
const (
	// loadFactor is how far above the mean an endpoint's load may be.
	loadFactor = 1.5
	// freePrefill is the load in tokens that always goes by affinity: about 80 ms of prefill.
	freePrefill = 4096
	// freeRequests is the same for requests in flight at one instance.
	freeRequests = 4
)

// ByPrefix returns the endpoint that prefills a prompt: the first in rendezvous order of the shared parts whose load is
// bounded. All instances order alike, so that the shared parts are read at few endpoints.
func ByPrefix(suited []*roster.Endpoint, p *Prompt, need Need) *roster.Endpoint {
	return bounded(suited, p, need, func(e *roster.Endpoint) float64 { return float64(e.PrefillLoad()) }, freePrefill)
}

// ByPrefixToDecode returns the endpoint that generates: the first in rendezvous order with a bounded number of requests.
func ByPrefixToDecode(suited []*roster.Endpoint, p *Prompt, need Need) *roster.Endpoint {
	return bounded(suited, p, need, func(e *roster.Endpoint) float64 { return float64(e.InFlight()) }, freeRequests)
}

func bounded(suited []*roster.Endpoint, p *Prompt, need Need, load func(*roster.Endpoint) float64, free float64) *roster.Endpoint {
	if len(suited) == 0 {
		return nil
	}
	total := 0.0
	for _, e := range suited {
		total += load(e)
	}
	bound := max(free, loadFactor*total/float64(len(suited)))
	var best, least *roster.Endpoint
	var bestWeight uint64
	for _, e := range suited {
		l := load(e)
		if least == nil || l < load(least) {
			least = e
		}
		if l > bound {
			continue
		}
		if weight := rendezvous(uint64(p.Anchor()), e.Entry().ID); best == nil || weight > bestWeight {
			best, bestWeight = e, weight
		}
	}
	if best == nil {
		return least
	}
	return best
}

// InDomain returns the endpoints of a failure domain, or all if it has none.
func InDomain(suited []*roster.Endpoint, domain wire.DomainName) []*roster.Endpoint {
	var near []*roster.Endpoint
	for _, e := range suited {
		if e.Entry().Domain == domain {
			near = append(near, e)
		}
	}
	if len(near) == 0 {
		return suited
	}
	return near
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

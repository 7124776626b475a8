package roster

import (
	"sync"
	"time"

	"cowslipshunt.example/wire"
)

// Detection and retry of failure domains that this instance cannot connect to.
const (
	// A failure domain counts as unreachable when connections to unreachableEndpoints of its endpoints failed within
	// unreachableWindow. A single endpoint may just have crashed.
	unreachableEndpoints = 2
	unreachableWindow    = time.Second
	// Requests avoid an unreachable domain for initialDomainPause before they try it again. A failure after the end of a
	// pause starts one of twice the length, up to maxDomainPause.
	initialDomainPause = 250 * time.Millisecond
	maxDomainPause     = 2 * time.Second
)

// Reachability tracks which failure domains this instance can connect to. Without it, a request would wait for a connection
// timeout at each endpoint of an unreachable domain in turn. It is safe for concurrent use.
type Reachability struct {
	mu      sync.Mutex
	domains map[wire.DomainName]*domainFailures
}

// domainFailures are the failed connections to a failure domain since one of its endpoints last answered.
type domainFailures struct {
	// failedAt is when a connection to each endpoint last failed.
	failedAt map[wire.EndpointId]time.Time
	// pause is the length of the last pause, 0 before the first.
	pause       time.Duration
	pausedUntil time.Time
}

// NewReachability returns a Reachability that regards every failure domain as reachable.
func NewReachability() *Reachability {
	return &Reachability{domains: map[wire.DomainName]*domainFailures{}}
}

// MarkUnreachable records that connecting to an endpoint failed. If its failure domain therefore becomes unreachable, or stays so
// after a pause, a new pause begins and its length is returned; otherwise it returns 0.
func (r *Reachability) MarkUnreachable(entry *Entry, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	d, known := r.domains[entry.Domain]
	if !known {
		d = &domainFailures{failedAt: map[wire.EndpointId]time.Time{}}
		r.domains[entry.Domain] = d
	}
	d.failedAt[entry.ID] = now
	for id, at := range d.failedAt {
		if now.Sub(at) > unreachableWindow && d.pause == 0 {
			delete(d.failedAt, id)
		}
	}
	if len(d.failedAt) < unreachableEndpoints || now.Before(d.pausedUntil) {
		return 0
	}
	d.pause = min(max(2*d.pause, initialDomainPause), maxDomainPause)
	d.pausedUntil = now.Add(d.pause)
	return d.pause
}

// MarkReachable records that an endpoint answered, which makes its failure domain reachable. It reports whether the domain had
// been unreachable.
func (r *Reachability) MarkReachable(entry *Entry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	d, known := r.domains[entry.Domain]
	delete(r.domains, entry.Domain)
	return known && d.pause > 0
}

// Unreachable returns the failure domains that requests should avoid as unreachable, or nil if there are none.
func (r *Reachability) Unreachable(now time.Time) map[wire.DomainName]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	var unreachable map[wire.DomainName]bool
	for name, d := range r.domains {
		if !now.Before(d.pausedUntil) {
			continue
		}
		if unreachable == nil {
			unreachable = map[wire.DomainName]bool{}
		}
		unreachable[name] = true
	}
	return unreachable
}

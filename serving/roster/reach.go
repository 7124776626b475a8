package roster

import (
	"sync"
	"time"

	"cowslipshunt.example/wire"
)

// Bounds of the pause of a failure domain that is not reached.
const (
	// cutEndpoints is how many endpoints have to be out of reach for their failure domain to count as cut off, and cutWithin in
	// what time: one may have crashed.
	cutEndpoints = 2
	cutWithin    = time.Second
	// cutPause is for how long the domain's endpoints are left alone before one is tried again; it doubles up to cutPauseAtMost.
	cutPause       = 250 * time.Millisecond
	cutPauseAtMost = 2 * time.Second
)

// Reach keeps which failure domains this instance reaches. Without it, each of a domain's endpoints would cost a request the
// time to open a connection in vain. It is safe for concurrent use.
type Reach struct {
	mu      sync.Mutex
	domains map[wire.DomainName]*domainReach
}

type domainReach struct {
	failed map[wire.EndpointId]time.Time
	pause  time.Duration
	until  time.Time
}

// NewReach returns a reach that knows of no failure.
func NewReach() *Reach {
	return &Reach{domains: map[wire.DomainName]*domainReach{}}
}

// Unreached notes that no connection to an endpoint was had. It returns the pause of the failure domain if that begins now.
func (r *Reach) Unreached(entry *Entry, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	d, known := r.domains[entry.Domain]
	if !known {
		d = &domainReach{failed: map[wire.EndpointId]time.Time{}}
		r.domains[entry.Domain] = d
	}
	d.failed[entry.ID] = now
	for id, at := range d.failed {
		if now.Sub(at) > cutWithin && d.pause == 0 {
			delete(d.failed, id)
		}
	}
	if len(d.failed) < cutEndpoints || now.Before(d.until) {
		return 0
	}
	d.pause = min(max(2*d.pause, cutPause), cutPauseAtMost)
	d.until = now.Add(d.pause)
	return d.pause
}

// Reached notes that an endpoint has answered, and tells whether its failure domain had counted as cut off.
func (r *Reach) Reached(entry *Entry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	d, known := r.domains[entry.Domain]
	delete(r.domains, entry.Domain)
	return known && d.pause > 0
}

// Cut returns the failure domains that count as cut off, nil if none does.
func (r *Reach) Cut(now time.Time) map[wire.DomainName]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	var cut map[wire.DomainName]bool
	for name, d := range r.domains {
		if !now.Before(d.until) {
			continue
		}
		if cut == nil {
			cut = map[wire.DomainName]bool{}
		}
		cut[name] = true
	}
	return cut
}

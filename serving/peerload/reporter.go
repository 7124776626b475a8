package peerload

import (
	"slices"
	"strings"
	"sync"
	"time"

	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
)

// Bounds of one report.
const (
	// maxUses bounds the uses that wait to be reported; the oldest are dropped.
	maxUses = 64
)

// Reporter makes an instance's reports. It is safe for concurrent use.
type Reporter struct {
	template  Report
	directory *roster.Directory

	mu       sync.Mutex
	sequence uint64
	last     []Load
	// lastPaused is what the last report said of paused endpoints.
	lastPaused []wire.EndpointId
	fresh      []Use
	repeated   []Use
	ordered    map[wire.EndpointId]ordered
}

// ordered is an order of this instance.
type ordered struct {
	to    roster.Stage
	until time.Time
}

// NewReporter returns the reporter of an instance that takes reports at an address.
func NewReporter(self wire.InstanceName, incarnation wire.IncarnationId, address string, d *roster.Directory) *Reporter {
	return &Reporter{template: Report{From: self, Incarnation: incarnation, Address: address}, directory: d, ordered: map[wire.EndpointId]ordered{}}
}

// Used notes that an endpoint was sent parts that it was not thought to keep.
func (r *Reporter) Used(id wire.EndpointId, parts []roster.PartID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fresh = append(r.fresh, Use{Endpoint: id, Parts: parts})
	if len(r.fresh) > maxUses {
		r.fresh = r.fresh[len(r.fresh)-maxUses:]
	}
}

// SetHolds notes whether this instance believes to hold the lease of the duties.
func (r *Reporter) SetHolds(holds bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.template.Holds = holds
}

// Next returns the next report, and whether it says anything that the last one did not.
func (r *Reporter) Next(now time.Time) (Report, bool) {
	loads := r.loads()
	changes := r.changes(now)
	paused := r.paused(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := len(changes) > 0 || len(r.fresh) > 0 || len(r.repeated) > 0 || !slices.Equal(loads, r.last) || !slices.Equal(paused, r.lastPaused)
	report := r.template
	r.sequence++
	report.Sequence = r.sequence
	report.Loads = loads
	report.Changes = changes
	report.Paused = paused
	report.Uses = append(slices.Clone(r.fresh), r.repeated...)
	r.last, r.lastPaused = loads, paused
	r.repeated, r.fresh = r.fresh, nil
	return report, changed
}

// changes returns the orders of this instance that may be under way.
func (r *Reporter) changes(now time.Time) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Change
	for id, c := range r.ordered {
		if !now.Before(c.until) {
			delete(r.ordered, id)
			continue
		}
		list = append(list, Change{Endpoint: id, To: c.to})
	}
	return list
}

// Ordered notes that this instance has ordered an engine to another stage, which may take until a time.
func (r *Reporter) Ordered(id wire.EndpointId, to roster.Stage, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ordered[id] = ordered{to: to, until: until}
}

func (r *Reporter) paused(now time.Time) []wire.EndpointId {
	var list []wire.EndpointId
	for id, e := range r.directory.View().All() {
		if e.Paused(now) {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}

func (r *Reporter) loads() []Load {
	var loads []Load
	for id, e := range r.directory.View().All() {
		if l := (Load{Endpoint: id, Prefill: e.OwnPrefillLoad(), InFlight: e.OwnInFlight()}); l.Prefill > 0 || l.InFlight > 0 {
			loads = append(loads, l)
		}
	}
	slices.SortFunc(loads, func(a, b Load) int { return strings.Compare(string(a.Endpoint), string(b.Endpoint)) })
	return loads
}

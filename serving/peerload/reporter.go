package peerload

import (
	"slices"
	"strings"
	"sync"

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
	fresh    []Use
	repeated []Use
}

// NewReporter returns the reporter of an instance that takes reports at an address.
func NewReporter(self wire.InstanceName, incarnation wire.IncarnationId, address string, d *roster.Directory) *Reporter {
	return &Reporter{template: Report{From: self, Incarnation: incarnation, Address: address}, directory: d}
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

// Next returns the next report, and whether it says anything that the last one did not.
func (r *Reporter) Next() (Report, bool) {
	loads := r.loads()
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := len(r.fresh) > 0 || len(r.repeated) > 0 || !slices.Equal(loads, r.last)
	report := r.template
	r.sequence++
	report.Sequence = r.sequence
	report.Loads = loads
	report.Uses = append(slices.Clone(r.fresh), r.repeated...)
	r.last = loads
	r.repeated, r.fresh = r.fresh, nil
	return report, changed
}

func (r *Reporter) loads() []Load {
	var loads []Load
	for id, e := range r.directory.View().All() {
		if l := (Load{Endpoint: id, Prefill: e.OwnPrefill(), InFlight: e.OwnInFlight()}); l.Prefill > 0 || l.InFlight > 0 {
			loads = append(loads, l)
		}
	}
	slices.SortFunc(loads, func(a, b Load) int { return strings.Compare(string(a.Endpoint), string(b.Endpoint)) })
	return loads
}

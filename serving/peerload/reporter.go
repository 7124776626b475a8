package peerload

import (
	"slices"
	"strings"
	"sync"
	"time"

	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
)

// maxUnreported bounds the sent parts that wait for the next report. The oldest are dropped beyond that.
const maxUnreported = 64

// Reporter builds the reports of an instance. It is safe for concurrent use.
type Reporter struct {
	template  Report
	directory *roster.Directory

	mu       sync.Mutex
	sequence uint64
	// lastLoads and lastPaused are those of the last report.
	lastLoads  []Load
	lastPaused []wire.EndpointId
	// lastLeaving are all endpoints that had told this instance that they leave when the last report was built.
	lastLeaving []Departure
	// unreported are the parts sent since the last report. reportedOnce were in the last report and are repeated in the next one,
	// so that peers receive them even if one report is lost.
	unreported   []SentParts
	reportedOnce []SentParts
	// speeds are the samples of engines' speeds since the last report, the newest last.
	speeds []Speed
	// leavingTurn is the index of the first leaving endpoint in the next report if there are more than fit.
	leavingTurn int
	// orders are this instance's stage orders, which are removed by the first report after their deadline.
	orders map[wire.EndpointId]stageOrder
}

// stageOrder is an order to another stage, which is reported until its deadline.
type stageOrder struct {
	to       roster.Stage
	deadline time.Time
}

// NewReporter returns the reporter of an instance in a failure domain that receives the reports of its peers at an address.
func NewReporter(self wire.InstanceName, incarnation wire.IncarnationId, address string, domain wire.DomainName, d *roster.Directory) *Reporter {
	template := Report{From: self, Incarnation: incarnation, Address: address, Domain: domain}
	return &Reporter{template: template, directory: d, orders: map[wire.EndpointId]stageOrder{}}
}

// RecordSent adds prompt parts that were sent to an endpoint to the next two reports.
func (r *Reporter) RecordSent(id wire.EndpointId, parts []roster.PartID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreported = append(r.unreported, SentParts{Endpoint: id, Parts: parts})
	if len(r.unreported) > maxUnreported {
		r.unreported = r.unreported[len(r.unreported)-maxUnreported:]
	}
}

// RecordSpeed adds a sample of an engine's speed, as a multiple of the nominal one, to the next report. The oldest samples are dropped beyond
// maxReportedSpeeds.
func (r *Reporter) RecordSpeed(id wire.EndpointId, factor float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.speeds = append(r.speeds, Speed{Endpoint: id, Permille: int(min(factor, maxSpeed) * 1000)})
	if len(r.speeds) > maxReportedSpeeds {
		r.speeds = slices.Delete(r.speeds, 0, len(r.speeds)-maxReportedSpeeds)
	}
}

// maxSpeed bounds the speeds in reports; estimates are bounded below it.
const maxSpeed = 100

// SetHoldsLease sets whether this instance believes that it holds the duties lease.
func (r *Reporter) SetHoldsLease(holds bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.template.Holds = holds
}

// Next returns the next report and whether it contains anything new: its loads or paused endpoints differ from those of the last
// report, or it contains sent parts, samples of speeds or stage changes.
func (r *Reporter) Next(now time.Time) (Report, bool) {
	loads := r.loads()
	changes := r.changes(now)
	paused := r.paused(now)
	leaving := r.leaving()
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := len(changes) > 0 || len(r.unreported) > 0 || len(r.reportedOnce) > 0 || len(r.speeds) > 0 || !slices.Equal(loads, r.lastLoads) || !slices.Equal(paused, r.lastPaused) || !slices.Equal(leaving, r.lastLeaving)
	report := r.template
	r.sequence++
	report.Sequence = r.sequence
	report.Loads = loads
	report.Changes = changes
	report.Paused = paused
	report.Leaving = r.nextLeaving(leaving)
	report.Speeds, r.speeds = r.speeds, nil
	report.Sent = append(slices.Clone(r.unreported), r.reportedOnce...)
	r.lastLoads, r.lastPaused, r.lastLeaving = loads, paused, leaving
	r.reportedOnce, r.unreported = r.unreported, nil
	return report, changed
}

// changes returns the stage orders whose deadline has not passed, and removes the others.
func (r *Reporter) changes(now time.Time) []StageChange {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []StageChange
	for id, o := range r.orders {
		if !now.Before(o.deadline) {
			delete(r.orders, id)
			continue
		}
		list = append(list, StageChange{Endpoint: id, To: o.to})
	}
	return list
}

// RecordOrder records that this instance ordered an engine to another stage. It is reported until the deadline.
func (r *Reporter) RecordOrder(id wire.EndpointId, to roster.Stage, deadline time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders[id] = stageOrder{to: to, deadline: deadline}
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

// leaving returns the listed endpoints that told this instance that they leave.
func (r *Reporter) leaving() []Departure {
	var list []Departure
	for id, e := range r.directory.View().All() {
		if e.ToldLeaving() {
			list = append(list, Departure{Endpoint: id, Born: e.Entry().Born})
		}
	}
	slices.SortFunc(list, func(a, b Departure) int { return strings.Compare(string(a.Endpoint), string(b.Endpoint)) })
	return list
}

// nextLeaving returns the part of the leaving endpoints that the next report names. The caller must hold the lock.
func (r *Reporter) nextLeaving(all []Departure) []Departure {
	n := len(all)
	if n <= maxReportedLeaving {
		return all
	}
	list := make([]Departure, maxReportedLeaving)
	for i := range list {
		list[i] = all[(r.leavingTurn+i)%n]
	}
	r.leavingTurn = (r.leavingTurn + maxReportedLeaving) % n
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

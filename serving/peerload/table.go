package peerload

import (
	"maps"
	"sync"
	"time"

	"cowslipshunt.example/serving/membership"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
	"github.com/cespare/xxhash/v2"
)

// reportLifetime is how long a peer's last report counts. Instances report at least every second.
const reportLifetime = 2500 * time.Millisecond

// changeLifetime is how long an engine is not available after a report of its stage change, unless it is listed with the new stage
// earlier. The sender repeats the change in its reports until the deadline of its order.
const changeLifetime = 1500 * time.Millisecond

// suspectingPeers is how many peers have to avoid an endpoint before this instance does, too. A single peer may be cut off from an
// endpoint that works.
const suspectingPeers = 2

// announceInterval is the shortest interval between two calls of onSuspected for one endpoint. A busy endpoint may be avoided and used
// again many times a second.
const announceInterval = time.Second

// Table keeps the newest report of each peer and sets the sum of their loads at each endpoint. It is safe for concurrent use.
type Table struct {
	self      wire.InstanceName
	directory *roster.Directory

	mu    sync.Mutex
	peers map[wire.InstanceName]*peer
	// sums holds the load of all peers at each endpoint and how many of them avoid it. Each report updates them incrementally:
	// with many instances and endpoints, adding up all reports each time would cost most of an instance's processor time.
	sums map[wire.EndpointId]*endpointSum
	// onSuspected is called when this instance starts or stops avoiding an endpoint because enough peers do, at most once in
	// announceInterval for each endpoint.
	onSuspected func(e *roster.Endpoint, peers int, suspected bool)
	// onLeaving is called when a peer's report says for the first time that an endpoint leaves.
	onLeaving func(k roster.Key, from wire.InstanceName)
	// onSpeed is called when a peer's sample has changed an engine's speed.
	onSpeed func(e *roster.Endpoint, from wire.InstanceName)
}

// Option configures a Table.
type Option func(*Table)

// WithSuspected sets a function that is called when this instance starts or stops avoiding an endpoint because of its peers, with
// the number of peers that avoid it.
func WithSuspected(onSuspected func(e *roster.Endpoint, peers int, suspected bool)) Option {
	return func(t *Table) {
		t.onSuspected = onSuspected
	}
}

// WithLeaving sets a function that is called when a peer's report says that an endpoint leaves and this instance did not know it.
func WithLeaving(onLeaving func(k roster.Key, from wire.InstanceName)) Option {
	return func(t *Table) {
		t.onLeaving = onLeaving
	}
}

// WithSpeed sets a function that is called when a peer's sample has changed the speed of an engine.
func WithSpeed(onSpeed func(e *roster.Endpoint, from wire.InstanceName)) Option {
	return func(t *Table) {
		t.onSpeed = onSpeed
	}
}

type endpointSum struct {
	// prefillTokens and inFlight are the sums over all peers' loads.
	prefillTokens, inFlight int
	// avoidedBy is the number of peers that avoid the endpoint.
	avoidedBy int
	// announced is what onSuspected was last told, announcedAt when.
	announced   bool
	announcedAt time.Time
}

// unused reports whether no report names the endpoint and onSuspected has nothing to be told of it.
func (s *endpointSum) unused() bool {
	return s.prefillTokens == 0 && s.inFlight == 0 && s.avoidedBy == 0 && !s.announced
}

// peer is the newest report of a peer and when it arrived.
type peer struct {
	report   Report
	received time.Time
}

// NewTable returns the table of an instance, with no reports yet.
func NewTable(self wire.InstanceName, d *roster.Directory, opts ...Option) *Table {
	t := &Table{
		self:        self,
		directory:   d,
		peers:       map[wire.InstanceName]*peer{},
		sums:        map[wire.EndpointId]*endpointSum{},
		onSuspected: func(*roster.Endpoint, int, bool) {},
		onLeaving:   func(roster.Key, wire.InstanceName) {},
		onSpeed:     func(*roster.Endpoint, wire.InstanceName) {},
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Apply applies a report, unless it is this instance's own, has no sender or is not newer than the last one of the same
// incarnation.
func (t *Table) Apply(r Report, now time.Time) {
	if r.From == t.self || r.From == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	previous, known := t.peers[r.From]
	if known && previous.report.Incarnation == r.Incarnation && r.Sequence <= previous.report.Sequence {
		return
	}
	all := t.directory.View().All()
	for _, sent := range r.Sent {
		if e, listed := all[sent.Endpoint]; listed {
			e.RecordParts(sent.Parts, now)
		}
	}
	for _, c := range r.Changes {
		if e, listed := all[c.Endpoint]; listed {
			e.SetChangingStage(c.To, now.Add(changeLifetime))
		}
	}
	for _, x := range r.Leaving {
		k := roster.Key{ID: x.Endpoint, Born: x.Born}
		if t.directory.MarkLeaving(k) {
			t.onLeaving(k, r.From)
		}
	}
	for _, s := range r.Speeds[:min(len(r.Speeds), maxReportedSpeeds)] {
		if e, listed := all[s.Endpoint]; listed && e.ObserveSpeed(float64(s.Permille)/1000, now) {
			t.onSpeed(e, r.From)
		}
	}
	r.Sent, r.Changes, r.Leaving, r.Speeds = nil, nil, nil, nil
	t.peers[r.From] = &peer{report: r, received: now}
	t.add(r, 1)
	if known {
		t.add(previous.report, -1)
		t.updateReported(previous.report, all, now)
	}
	t.updateReported(r, all, now)
}

// Expire drops the reports of peers that have stopped reporting, and updates the loads of all listed endpoints.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, p := range t.peers {
		if now.Sub(p.received) > reportLifetime {
			t.add(p.report, -1)
			delete(t.peers, name)
		}
	}
	// This also updates endpoints that were listed only after the reports with their loads arrived.
	for _, e := range t.directory.View().All() {
		t.update(e, now)
	}
	maps.DeleteFunc(t.sums, func(_ wire.EndpointId, s *endpointSum) bool { return s.unused() })
}

// HolderReported reports whether a peer that believes it holds the duties lease has reported so within the given time before now.
func (t *Table) HolderReported(now time.Time, within time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if p.report.Holds && now.Sub(p.received) < within {
			return true
		}
	}
	return false
}

// Rank returns this instance's rank, from 0, among itself and the peers that report. All instances are ordered by the hash of
// their names, so that a few of them can be selected without communication.
func (t *Table) Rank() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := xxhash.Sum64String(string(t.self))
	rank := 0
	for name := range t.peers {
		if xxhash.Sum64String(string(name)) < own {
			rank++
		}
	}
	return rank
}

// Peers returns the peers that report.
func (t *Table) Peers() []membership.Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]membership.Peer, 0, len(t.peers))
	for _, p := range t.peers {
		list = append(list, membership.Peer{Address: p.report.Address, Domain: p.report.Domain})
	}
	return list
}

// ReportAges returns the number of peers that report, and the ages of the newest and the oldest of their last reports.
func (t *Table) ReportAges(now time.Time) (peers int, newest, oldest time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		age := now.Sub(p.received)
		if peers == 0 || age < newest {
			newest = age
		}
		oldest = max(oldest, age)
		peers++
	}
	return peers, newest, oldest
}

// add adds a report to the sums with sign 1, or subtracts it with sign -1.
func (t *Table) add(r Report, sign int) {
	for _, l := range r.Loads {
		s := t.sumOf(l.Endpoint)
		s.prefillTokens += sign * max(l.Prefill, 0)
		s.inFlight += sign * max(l.InFlight, 0)
	}
	for _, id := range r.Paused {
		t.sumOf(id).avoidedBy += sign
	}
}

// sumOf returns the sums of an endpoint and creates them if there are none.
func (t *Table) sumOf(id wire.EndpointId) *endpointSum {
	s, known := t.sums[id]
	if !known {
		s = &endpointSum{}
		t.sums[id] = s
	}
	return s
}

// updateReported updates the loads of the listed endpoints that a report names.
func (t *Table) updateReported(r Report, all map[wire.EndpointId]*roster.Endpoint, now time.Time) {
	for _, l := range r.Loads {
		if e, listed := all[l.Endpoint]; listed {
			t.update(e, now)
		}
	}
	for _, id := range r.Paused {
		if e, listed := all[id]; listed {
			t.update(e, now)
		}
	}
}

// update sets the peers' load at an endpoint, and whether this instance avoids it because enough of them do.
func (t *Table) update(e *roster.Endpoint, now time.Time) {
	s, known := t.sums[e.Entry().ID]
	if !known {
		s = &endpointSum{}
	}
	e.SetPeerLoad(s.prefillTokens, s.inFlight)
	suspected := s.avoidedBy >= suspectingPeers
	e.SetSuspected(suspected)
	if suspected != s.announced && now.Sub(s.announcedAt) >= announceInterval {
		s.announced, s.announcedAt = suspected, now
		t.onSuspected(e, s.avoidedBy, suspected)
	}
}

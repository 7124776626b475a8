package peerload

import (
	"maps"
	"sync"
	"time"

	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
	"github.com/cespare/xxhash/v2"
)

// silence is how long the loads of an instance count after its last report. Instances report at least every second.
const silence = 2500 * time.Millisecond

// changeHeld is how long one report keeps work from an engine that changes. The sender repeats it while it waits.
const changeHeld = 1500 * time.Millisecond

// accusers is how many peers have to leave an endpoint alone before this instance does: one alone may be cut off from it.
const accusers = 2

// Board keeps the newest report of each peer and sums them up for the endpoints. It is safe for concurrent use.
type Board struct {
	self      wire.InstanceName
	directory *roster.Directory

	mu    sync.Mutex
	peers map[wire.InstanceName]*peer
	// sums are what the peers have under way at each endpoint, and how many of them avoid it. They are kept up to date
	// with each report: with many instances and endpoints, adding everything up each time would cost most of an instance's
	// processor time.
	sums map[wire.EndpointId]*endpointSum
	// suspected is told when this instance begins or ceases to avoid an endpoint because so many peers do.
	suspected func(e *roster.Endpoint, peers int, avoided bool)
}

// BoardOption changes a board.
type BoardOption func(*Board)

// WithSuspected sets what is told when this instance begins or ceases to avoid an endpoint because so many peers do.
func WithSuspected(suspected func(e *roster.Endpoint, peers int, avoided bool)) BoardOption {
	return func(b *Board) {
		b.suspected = suspected
	}
}

type endpointSum struct {
	prefill, inFlight, paused int
}

// peer is one instance's newest report and when it came.
type peer struct {
	report Report
	at     time.Time
}

// NewBoard returns an empty board of an instance.
func NewBoard(self wire.InstanceName, d *roster.Directory, opts ...BoardOption) *Board {
	b := &Board{
		self:      self,
		directory: d,
		peers:     map[wire.InstanceName]*peer{},
		sums:      map[wire.EndpointId]*endpointSum{},
		suspected: func(*roster.Endpoint, int, bool) {},
	}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Take takes a report in unless it is older than the one known.
func (b *Board) Take(r Report, now time.Time) {
	if r.From == b.self || r.From == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p, known := b.peers[r.From]
	if known && p.report.Incarnation == r.Incarnation && r.Sequence <= p.report.Sequence {
		return
	}
	all := b.directory.View().All()
	for _, u := range r.Uses {
		if e, listed := all[u.Endpoint]; listed {
			e.Learn(u.Parts, now)
		}
	}
	for _, c := range r.Changes {
		if e, listed := all[c.Endpoint]; listed {
			e.Changing(c.To, now.Add(changeHeld))
		}
	}
	r.Uses, r.Changes = nil, nil
	b.peers[r.From] = &peer{report: r, at: now}
	b.add(r, 1)
	if known {
		b.add(p.report, -1)
		b.tellNamed(p.report, all)
	}
	b.tellNamed(r, all)
}

// Expire drops the loads of peers that have fallen silent.
func (b *Board) Expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, p := range b.peers {
		if now.Sub(p.at) > silence {
			b.add(p.report, -1)
			delete(b.peers, name)
		}
	}
	// Endpoints that were listed after the reports of them learn of their loads here.
	for _, e := range b.directory.View().All() {
		b.tell(e)
	}
	maps.DeleteFunc(b.sums, func(_ wire.EndpointId, s *endpointSum) bool { return *s == endpointSum{} })
}

// HolderHeard tells whether a peer that believes to hold the lease of the duties reported within a time.
func (b *Board) HolderHeard(now time.Time, within time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.peers {
		if p.report.Holds && now.Sub(p.at) < within {
			return true
		}
	}
	return false
}

// Place returns how many of the peers that report come before this instance in an order that is the same on all, so that a few
// instances can be chosen without asking.
func (b *Board) Place() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := xxhash.Sum64String(string(b.self))
	place := 0
	for name := range b.peers {
		if xxhash.Sum64String(string(name)) < own {
			place++
		}
	}
	return place
}

// Addresses returns where the peers that report take reports.
func (b *Board) Addresses() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]string, 0, len(b.peers))
	for _, p := range b.peers {
		list = append(list, p.report.Address)
	}
	return list
}

// add adds a report to the sums, or takes it off with sign -1.
func (b *Board) add(r Report, sign int) {
	for _, l := range r.Loads {
		s := b.sumOf(l.Endpoint)
		s.prefill += sign * max(l.Prefill, 0)
		s.inFlight += sign * max(l.InFlight, 0)
	}
	for _, id := range r.Paused {
		b.sumOf(id).paused += sign
	}
}

func (b *Board) sumOf(id wire.EndpointId) *endpointSum {
	s, known := b.sums[id]
	if !known {
		s = &endpointSum{}
		b.sums[id] = s
	}
	return s
}

// tellNamed gives the endpoints that a report names what the peers have under way there.
func (b *Board) tellNamed(r Report, all map[wire.EndpointId]*roster.Endpoint) {
	for _, l := range r.Loads {
		if e, listed := all[l.Endpoint]; listed {
			b.tell(e)
		}
	}
	for _, id := range r.Paused {
		if e, listed := all[id]; listed {
			b.tell(e)
		}
	}
}

// tell gives an endpoint what the peers have under way there.
func (b *Board) tell(e *roster.Endpoint) {
	id := e.Entry().ID
	s, known := b.sums[id]
	if !known {
		s = &endpointSum{}
	}
	if avoided := s.paused >= accusers; e.SetSuspected(avoided) {
		b.suspected(e, s.paused, avoided)
	}
	e.SetPeers(s.prefill, s.inFlight)
}

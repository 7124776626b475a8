package peerload

import (
	"maps"
	"sync"
	"time"

	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
	"github.com/cespare/xxhash/v2"
)

// reportLifetime is how long a peer's loads count after its last report. Instances report at least every second.
const reportLifetime = 2500 * time.Millisecond

// changeLifetime is how long a report of a stage change closes the engine to new requests. The sender repeats the change in its
// reports while it waits for it.
const changeLifetime = 1500 * time.Millisecond

// suspectingPeers is how many peers have to avoid an endpoint before this instance does, too. A single peer may be cut off from an
// endpoint that works.
const suspectingPeers = 2

// Table keeps the newest report of each peer and sets the sum of their loads at each endpoint. It is safe for concurrent use.
type Table struct {
	self      wire.InstanceName
	directory *roster.Directory

	mu    sync.Mutex
	peers map[wire.InstanceName]*peer
	// sums holds the load of all peers at each endpoint and how many of them avoid it. Each report updates them incrementally:
	// with many instances and endpoints, adding up all reports each time would cost most of an instance's processor time.
	sums map[wire.EndpointId]*endpointSum
	// suspected is called when this instance starts or stops avoiding an endpoint because enough peers do.
	suspected func(e *roster.Endpoint, peers int, avoided bool)
}

// Option configures a Board.
type Option func(*Table)

// WithSuspected sets a function that is called when this instance starts or stops avoiding an endpoint because of its peers, with the
// number of peers that avoid it.
func WithSuspected(suspected func(e *roster.Endpoint, peers int, avoided bool)) Option {
	return func(b *Table) {
		b.suspected = suspected
	}
}

type endpointSum struct {
	// prefillTokens and inFlight are the sums over all peers' loads.
	prefillTokens, inFlight int
	// avoiding is the number of peers that avoid the endpoint.
	avoiding int
}

// peer is the newest report of a peer and when it arrived.
type peer struct {
	report   Report
	received time.Time
}

// NewTable returns the board of an instance, with no reports yet.
func NewTable(self wire.InstanceName, d *roster.Directory, opts ...Option) *Table {
	b := &Table{
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

// Apply applies a report, unless it is this instance's own, has no sender or is not newer than the last one of the same incarnation.
func (b *Table) Apply(r Report, now time.Time) {
	if r.From == b.self || r.From == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	previous, known := b.peers[r.From]
	if known && previous.report.Incarnation == r.Incarnation && r.Sequence <= previous.report.Sequence {
		return
	}
	all := b.directory.View().All()
	for _, u := range r.Sent {
		if e, listed := all[u.Endpoint]; listed {
			e.RecordParts(u.Parts, now)
		}
	}
	for _, c := range r.Changes {
		if e, listed := all[c.Endpoint]; listed {
			e.SetChangingStage(c.To, now.Add(changeLifetime))
		}
	}
	r.Sent, r.Changes = nil, nil
	b.peers[r.From] = &peer{report: r, received: now}
	b.add(r, 1)
	if known {
		b.add(previous.report, -1)
		b.updateReported(previous.report, all)
	}
	b.updateReported(r, all)
}

// Expire drops the loads of peers that have stopped reporting.
func (b *Table) Expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, p := range b.peers {
		if now.Sub(p.received) > reportLifetime {
			b.add(p.report, -1)
			delete(b.peers, name)
		}
	}
	// This also updates endpoints that were listed only after the reports with their loads arrived.
	for _, e := range b.directory.View().All() {
		b.update(e)
	}
	maps.DeleteFunc(b.sums, func(_ wire.EndpointId, s *endpointSum) bool { return *s == endpointSum{} })
}

// HolderReported reports whether, within a time before now, a peer reported that it believes it holds the duties lease.
func (b *Table) HolderReported(now time.Time, within time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.peers {
		if p.report.Holds && now.Sub(p.received) < within {
			return true
		}
	}
	return false
}

// Rank returns this instance's rank, from 0, among the instances that report. All instances order themselves by the hash of
// their names, so that a few of them can be selected without communication.
func (b *Table) Rank() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := xxhash.Sum64String(string(b.self))
	rank := 0
	for name := range b.peers {
		if xxhash.Sum64String(string(name)) < own {
			rank++
		}
	}
	return rank
}

// Addresses returns the addresses at which the peers receive reports.
func (b *Table) Addresses() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]string, 0, len(b.peers))
	for _, p := range b.peers {
		list = append(list, p.report.Address)
	}
	return list
}

// add adds a report to the sums with sign 1, or subtracts it with sign -1.
func (b *Table) add(r Report, sign int) {
	for _, l := range r.Loads {
		s := b.sumOf(l.Endpoint)
		s.prefillTokens += sign * max(l.Prefill, 0)
		s.inFlight += sign * max(l.InFlight, 0)
	}
	for _, id := range r.Paused {
		b.sumOf(id).avoiding += sign
	}
}

func (b *Table) sumOf(id wire.EndpointId) *endpointSum {
	s, known := b.sums[id]
	if !known {
		s = &endpointSum{}
		b.sums[id] = s
	}
	return s
}

// updateReported updates the listed endpoints that a report names.
func (b *Table) updateReported(r Report, all map[wire.EndpointId]*roster.Endpoint) {
	for _, l := range r.Loads {
		if e, listed := all[l.Endpoint]; listed {
			b.update(e)
		}
	}
	for _, id := range r.Paused {
		if e, listed := all[id]; listed {
			b.update(e)
		}
	}
}

// update sets the load of all peers at an endpoint, and whether this instance avoids it because they do.
func (b *Table) update(e *roster.Endpoint) {
	id := e.Entry().ID
	s, known := b.sums[id]
	if !known {
		s = &endpointSum{}
	}
	if avoided := s.avoiding >= suspectingPeers; e.SetSuspected(avoided) {
		b.suspected(e, s.avoiding, avoided)
	}
	e.SetPeerLoad(s.prefillTokens, s.inFlight)
}

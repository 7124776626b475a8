package peerload

import (
	"sync"
	"time"

	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
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
}

// peer is one instance's newest report and when it came.
type peer struct {
	report Report
	at     time.Time
}

// NewBoard returns an empty board of an instance.
func NewBoard(self wire.InstanceName, d *roster.Directory) *Board {
	return &Board{self: self, directory: d, peers: map[wire.InstanceName]*peer{}}
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
	b.sum(all, now)
}

// Expire drops the loads of peers that have fallen silent.
func (b *Board) Expire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sum(b.directory.View().All(), now)
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

// sum tells each endpoint what the peers have under way there.
func (b *Board) sum(all map[wire.EndpointId]*roster.Endpoint, now time.Time) {
	sums := map[wire.EndpointId]Load{}
	paused := map[wire.EndpointId]int{}
	for name, p := range b.peers {
		if now.Sub(p.at) > silence {
			delete(b.peers, name)
			continue
		}
		for _, id := range p.report.Paused {
			paused[id]++
		}
		for _, l := range p.report.Loads {
			s := sums[l.Endpoint]
			s.Prefill += max(l.Prefill, 0)
			s.InFlight += max(l.InFlight, 0)
			sums[l.Endpoint] = s
		}
	}
	for id, e := range all {
		e.SetSuspected(paused[id] >= accusers)
		e.SetPeers(sums[id].Prefill, sums[id].InFlight)
	}
}

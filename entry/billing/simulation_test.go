package billing

import (
	"context"

	"cowslipshunt.example/wire"
	"pgregory.net/rapid"
)

var workspaces = []wire.WorkspaceName{"bluegum", "lustre"}

// settleRounds is the number of rounds of sending and writing after which a fleet without faults has settled.
const settleRounds = 8

// simulation compares a fleet with the requests that were recorded and answered in all its incarnations. settled is set while
// one kill cannot lose an answered request, tableFaulty while the table may fail.
type simulation struct {
	*fleet
	incarnations []*member
	settled      bool
	tableFaulty  bool
}

func newSimulation(names ...wire.InstanceName) *simulation {
	s := &simulation{fleet: newFleet(names...), settled: true}
	for _, name := range names {
		s.incarnations = append(s.incarnations, s.members[name])
	}
	return s
}

// checkInvariants fails if a figure exceeds the number of recorded requests, or if a request is lost whose answer may have ended.
func (s *simulation) checkInvariants(t *rapid.T) {
	for _, m := range s.incarnations {
		table, err := s.stored(m.hello.Incarnation)
		if err != nil {
			t.Fatal(err)
		}
		copies := append(s.copies(m.hello.Incarnation), table)
		for _, workspace := range workspaces {
			most := 0
			for _, totals := range copies {
				most = max(most, requests(totals, workspace))
			}
			if answered := m.answered()[workspace]; most < answered {
				t.Fatalf("%s: %d answered requests of %s, but at most %d are left in any copy", m.hello.Incarnation, answered, workspace, most)
			}
			if recorded := m.recorded(workspace); most > recorded {
				t.Fatalf("%s: %d recorded requests of %s, but %d are billed", m.hello.Incarnation, recorded, workspace, most)
			}
		}
	}
}

// recorded returns the number of a workspace's requests that were recorded.
func (m *member) recorded(workspace wire.WorkspaceName) int {
	if len(m.recordedAt) == 0 {
		return 0
	}
	return m.recordedAt[len(m.recordedAt)-1][workspace]
}

// settle restores all links and killed instances, sends and writes for settleRounds rounds, and then checks that one kill
// cannot lose a request.
func (s *simulation) settle(t *rapid.T) {
	clear(s.cutLinks)
	for _, name := range s.names {
		if s.members[name] == nil {
			s.restart(name)
		}
	}
	for range settleRounds {
		s.clock.Advance(orphanDelay)
		for _, name := range s.names {
			s.members[name].recorder.sendToPeer()
			s.members[name].recorder.storeOrphans(context.Background(), orphanDelay)
		}
		for len(s.inFlight) > 0 {
			if err := s.deliver(0); err != nil {
				t.Fatal(err)
			}
		}
	}
	s.checkSettled(t)
	s.settled = s.deadTotalsStored(t)
}

// checkSettled fails if the requests of a running incarnation are neither in two memories nor in the table.
func (s *simulation) checkSettled(t *rapid.T) {
	for _, name := range s.names {
		m := s.members[name]
		table, _ := s.stored(m.hello.Incarnation)
		for _, workspace := range workspaces {
			kept := 0
			for _, totals := range s.copies(m.hello.Incarnation) {
				if requests(totals, workspace) == m.recorded(workspace) {
					kept++
				}
			}
			if kept < 2 && requests(table, workspace) < m.recorded(workspace) {
				t.Fatalf("%s: after settling, all %d requests of %s are in %d memories and not in the table, want two memories or the table", m.hello.Incarnation, m.recorded(workspace), workspace, kept)
			}
		}
	}
}

// deadTotalsStored reports whether the table has the answered requests of all dead incarnations. Until then, a further kill
// may lose the only copy.
func (s *simulation) deadTotalsStored(t *rapid.T) bool {
	for _, m := range s.incarnations {
		table, err := s.stored(m.hello.Incarnation)
		if err != nil {
			t.Fatal(err)
		}
		for _, workspace := range workspaces {
			if s.members[m.hello.Instance] != m && requests(table, workspace) < m.answered()[workspace] {
				return false
			}
		}
	}
	return true
}

// restart replaces an instance by a new incarnation and keeps the earlier one in the list.
func (s *simulation) restart(name wire.InstanceName) {
	s.incarnations = append(s.incarnations, s.start(name))
}

package billing

import (
	"context"

	"cowslipshunt.example/wire"
	"pgregory.net/rapid"
)

var workspaces = []wire.WorkspaceName{"bluegum", "lustre"}

// settleRounds is how often everything due is done until a fleet is settled.
const settleRounds = 8

// life holds a fleet against what was recorded and answered in all its incarnations.
type life struct {
	*fleet
	all     []*recording
	settled bool
	faulty  bool
}

func newLife(names ...wire.InstanceName) *life {
	l := &life{fleet: newFleet(names...), settled: true}
	for _, name := range names {
		l.all = append(l.all, l.members[name])
	}
	return l
}

// check demands that no figure exceeds what was recorded, and that none is lost whose answer may have ended.
func (l *life) check(t *rapid.T) {
	for _, m := range l.all {
		table, err := l.stored(m.hello.Incarnation)
		if err != nil {
			t.Fatal(err)
		}
		copies := append(l.copies(m.hello.Incarnation), table)
		for _, workspace := range workspaces {
			most := 0
			for _, totals := range copies {
				most = max(most, requests(totals, workspace))
			}
			if answered := m.answered()[workspace]; most < answered {
				t.Fatalf("%s: %d answered requests of %s, %d are kept anywhere", m.hello.Incarnation, answered, workspace, most)
			}
			if recorded := m.recorded(workspace); most > recorded {
				t.Fatalf("%s: %d recorded requests of %s, %d are billed", m.hello.Incarnation, recorded, workspace, most)
			}
		}
	}
}

func (m *recording) recorded(workspace wire.WorkspaceName) int {
	if len(m.ends) == 0 {
		return 0
	}
	return m.ends[len(m.ends)-1][workspace]
}

// settle links everyone and does everything due until nothing changes, then demands that one kill can lose nothing.
func (l *life) settle(t *rapid.T) {
	clear(l.unlinks)
	for _, name := range l.names {
		if l.members[name] == nil {
			l.restart(name)
		}
	}
	for range settleRounds {
		l.clock.Advance(rescueAfter)
		for _, name := range l.names {
			l.members[name].recorder.sendToPeer()
			l.members[name].recorder.rescue(context.Background(), rescueAfter)
		}
		for len(l.posts) > 0 {
			if err := l.deliver(0); err != nil {
				t.Fatal(err)
			}
		}
	}
	l.checkSettled(t)
	l.settled = l.tableHas(t)
}

// checkSettled demands that what runs is kept twice or in the table.
func (l *life) checkSettled(t *rapid.T) {
	for _, name := range l.names {
		m := l.members[name]
		table, _ := l.stored(m.hello.Incarnation)
		for _, workspace := range workspaces {
			kept := 0
			for _, totals := range l.copies(m.hello.Incarnation) {
				if requests(totals, workspace) == m.recorded(workspace) {
					kept++
				}
			}
			if kept < 2 && requests(table, workspace) < m.recorded(workspace) {
				t.Fatalf("%s: after settling, %d memories and not the table have all %d requests of %s", m.hello.Incarnation, kept, m.recorded(workspace), workspace)
			}
		}
	}
}

// tableHas tells whether the table has what dead incarnations left behind: until then another kill is a second one.
func (l *life) tableHas(t *rapid.T) bool {
	for _, m := range l.all {
		table, err := l.stored(m.hello.Incarnation)
		if err != nil {
			t.Fatal(err)
		}
		for _, workspace := range workspaces {
			if l.members[m.hello.Instance] != m && requests(table, workspace) < m.answered()[workspace] {
				return false
			}
		}
	}
	return true
}

func (l *life) restart(name wire.InstanceName) {
	l.all = append(l.all, l.start(name))
}

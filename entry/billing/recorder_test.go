package billing

import (
	"context"
	"testing"
	"time"

	"cowslipshunt.example/shared/tabletest"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"
)

// TestOneKillLosesNoAnsweredRequest runs the recorders of a failure domain with table faults, broken links, reordered messages
// and one kill at a time. It guards against a request that is billed twice, and against the loss of a request whose answer may
// have ended.
func TestOneKillLosesNoAnsweredRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation([]wire.InstanceName{"a", "b", "c"}[:rapid.IntRange(2, 3).Draw(t, "entries")]...)
		s.table.Fault = func() tabletest.Fault {
			if !s.tableFaulty {
				return tabletest.None
			}
			return rapid.SampledFrom([]tabletest.Fault{tabletest.Refused, tabletest.Lost, tabletest.Late, tabletest.None}).Draw(t, "fault")
		}
		randomMember := func() *member { return s.members[rapid.SampledFrom(s.names).Draw(t, "entry")] }
		background := context.Background()
		t.Repeat(map[string]func(*rapid.T){
			"": s.checkInvariants,
			"record": func(t *rapid.T) {
				if m := randomMember(); m != nil {
					m.record(rapid.SampledFrom(workspaces).Draw(t, "workspace"))
				}
			},
			"send": func(*rapid.T) {
				if m := randomMember(); m != nil {
					m.recorder.sendToPeer()
				}
			},
			"deliver": func(t *rapid.T) {
				if len(s.inFlight) > 0 {
					if err := s.deliver(rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "message")); err != nil {
						t.Fatal(err)
					}
				}
			},
			"store": func(*rapid.T) {
				if m := randomMember(); m != nil {
					m.recorder.storeOwn(background, false)
				}
			},
			"orphans": func(t *rapid.T) {
				s.clock.Advance(time.Duration(rapid.IntRange(0, 2).Draw(t, "seconds")) * time.Second)
				if m := randomMember(); m != nil {
					m.recorder.storeOrphans(background, orphanDelay)
				}
			},
			"late":  func(*rapid.T) { s.table.ApplyLate() },
			"fault": func(t *rapid.T) { s.tableFaulty = rapid.Bool().Draw(t, "faulty") },
			"link": func(t *rapid.T) {
				pair := [2]wire.InstanceName{s.names[0], s.names[len(s.names)-1]}
				s.cutLinks[pair] = rapid.Bool().Draw(t, "unlinked")
			},
			"settle": s.settle,
			"kill": func(t *rapid.T) {
				name := rapid.SampledFrom(s.names).Draw(t, "victim")
				if !s.settled {
					return
				}
				s.settled = false
				s.members[name] = nil
				if rapid.Bool().Draw(t, "at once") {
					s.restart(name)
				}
			},
		})
	})
}

// TestRestartedPeerGetsEverythingAgain restarts the peer that held the totals and then kills their owner while the table is
// unreachable. It guards against sending only the changes to the restarted peer, which holds nothing.
func TestRestartedPeerGetsEverythingAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation("a", "b")
		s.table.Fault = func() tabletest.Fault { return tabletest.Refused }
		s.members["a"].record("bluegum")
		s.settle(t)
		s.restart("b")
		s.members["a"].record("lustre")
		s.settle(t)
		s.members["a"] = nil
		s.checkInvariants(t)
	})
}

// TestLateConfirmationOfADeadPeer delivers a confirmation after its sender was restarted and chosen as the peer again. It guards
// against counting that confirmation for the new incarnation.
func TestLateConfirmationOfADeadPeer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation("a", "b")
		s.table.Fault = func() tabletest.Fault { return tabletest.Refused }
		a := s.members["a"]
		a.record("bluegum")
		a.recorder.sendToPeer()
		if err := s.deliver(0); err != nil {
			t.Fatal(err)
		}
		confirmation := s.inFlight
		s.inFlight = nil
		s.restart("b")
		a.recorder.sendToPeer()
		s.inFlight = confirmation
		if err := s.deliver(0); err != nil {
			t.Fatal(err)
		}
		s.settle(t)
	})
}

// TestCloseWritesRequestsEndingMeanwhile ends a request while Close writes the last totals. It guards against leaving this
// request out of the table.
func TestCloseWritesRequestsEndingMeanwhile(t *testing.T) {
	f := newFleet("a")
	m := f.members["a"]
	m.record("bluegum")
	late := false
	f.table.Delay = func() {
		if !late {
			late = true
			m.record("lustre")
		}
	}
	if err := m.recorder.Close(closeContext(t, f.clock)); err != nil {
		t.Fatal(err)
	}
	table, err := f.stored(m.hello.Incarnation)
	if err != nil || requests(table, "bluegum") != 1 || requests(table, "lustre") != 1 {
		t.Errorf("the table has %+v, %v", table, err)
	}
}

// TestCloseWritesADeadPeersTotals closes the only holder of a killed peer's totals before orphanDelay has passed. It guards
// against losing these totals.
func TestCloseWritesADeadPeersTotals(t *testing.T) {
	f := newFleet("a", "b")
	a := f.members["a"]
	a.record("bluegum")
	a.recorder.sendToPeer()
	if err := f.deliver(0); err != nil {
		t.Fatal(err)
	}
	f.members["a"] = nil
	if err := f.members["b"].recorder.Close(closeContext(t, f.clock)); err != nil {
		t.Fatal(err)
	}
	table, err := f.stored(a.hello.Incarnation)
	if err != nil || requests(table, "bluegum") != 1 {
		t.Errorf("the table has %+v, %v", table, err)
	}
}

// closeContext returns a context that bounds a call of Close, and advances the clock whenever that call waits.
func closeContext(t *testing.T, clock *clockwork.FakeClock) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(cancel)
	go func() {
		for clock.BlockUntilContext(ctx, 1) == nil {
			clock.Advance(resendInterval)
		}
	}()
	return ctx
}

// TestOnlyHoldersAreNotifiedOfStoredTotals checks which peers are notified that the table has the totals: those that were sent
// totals, even if they restarted since. The others hold nothing to drop.
func TestOnlyHoldersAreNotifiedOfStoredTotals(t *testing.T) {
	f := newFleet("a", "b", "c", "d")
	a := f.members["a"]
	a.record("bluegum")
	a.recorder.sendToPeer()
	f.inFlight = nil
	if !a.recorder.storeOwn(t.Context(), false) {
		t.Fatal("the totals were not written to the table")
	}
	if len(f.inFlight) != 1 || f.inFlight[0].to.Instance != "b" || f.inFlight[0].topic != TopicStored {
		t.Errorf("%d instances were notified, want only b", len(f.inFlight))
	}
	f.members["b"] = nil
	a.record("bluegum")
	a.recorder.sendToPeer()
	f.start("b")
	f.inFlight = nil
	a.recorder.storeOwn(t.Context(), false)
	notified := map[wire.InstanceName]bool{}
	for _, msg := range f.inFlight {
		notified[msg.to.Instance] = true
	}
	if len(notified) != 2 || !notified["b"] || !notified["c"] {
		t.Errorf("notified %v, want the earlier holder b and the present one c", notified)
	}
}

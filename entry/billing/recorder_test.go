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

// TestOneKillLosesNoAnsweredRequest runs recorders of one domain with a table that fails, links that break, messages that
// cross, and one kill at a time. Nothing recorded is billed twice, and nothing is lost whose answer may have ended.
func TestOneKillLosesNoAnsweredRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLife([]wire.InstanceName{"a", "b", "c"}[:rapid.IntRange(2, 3).Draw(t, "entries")]...)
		l.table.Fault = func() tabletest.Fault {
			if !l.faulty {
				return tabletest.None
			}
			return rapid.SampledFrom([]tabletest.Fault{tabletest.Refused, tabletest.Lost, tabletest.Late, tabletest.None}).Draw(t, "fault")
		}
		any := func() *recording { return l.members[rapid.SampledFrom(l.names).Draw(t, "entry")] }
		background := context.Background()
		t.Repeat(map[string]func(*rapid.T){
			"": l.check,
			"record": func(t *rapid.T) {
				if m := any(); m != nil {
					m.record(rapid.SampledFrom(workspaces).Draw(t, "workspace"))
				}
			},
			"send": func(*rapid.T) {
				if m := any(); m != nil {
					m.recorder.sendToPeer()
				}
			},
			"deliver": func(t *rapid.T) {
				if len(l.posts) > 0 {
					if err := l.deliver(rapid.IntRange(0, len(l.posts)-1).Draw(t, "post")); err != nil {
						t.Fatal(err)
					}
				}
			},
			"store": func(*rapid.T) {
				if m := any(); m != nil {
					m.recorder.storeOwn(background, false)
				}
			},
			"rescue": func(t *rapid.T) {
				l.clock.Advance(time.Duration(rapid.IntRange(0, 2).Draw(t, "seconds")) * time.Second)
				if m := any(); m != nil {
					m.recorder.rescue(background, rescueAfter)
				}
			},
			"late":  func(*rapid.T) { l.table.DeliverLate() },
			"fault": func(t *rapid.T) { l.faulty = rapid.Bool().Draw(t, "faulty") },
			"link": func(t *rapid.T) {
				pair := [2]wire.InstanceName{l.names[0], l.names[len(l.names)-1]}
				l.unlinks[pair] = rapid.Bool().Draw(t, "unlinked")
			},
			"settle": l.settle,
			"kill": func(t *rapid.T) {
				name := rapid.SampledFrom(l.names).Draw(t, "victim")
				if !l.settled {
					return
				}
				l.settled = false
				l.members[name] = nil
				if rapid.Bool().Draw(t, "at once") {
					l.restart(name)
				}
			},
		})
	})
}

// TestRestartedPeerGetsEverythingAgain is the case by hand: the peer that held the totals starts anew, and then their owner
// is killed with the table out of reach.
func TestRestartedPeerGetsEverythingAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLife("a", "b")
		l.table.Fault = func() tabletest.Fault { return tabletest.Refused }
		l.members["a"].record("bluegum")
		l.settle(t)
		l.restart("b")
		l.members["a"].record("lustre")
		l.settle(t)
		l.members["a"] = nil
		l.check(t)
	})
}

// TestLateConfirmationOfADeadPeer delivers a confirmation after its sender was replaced and the replacement chosen.
func TestLateConfirmationOfADeadPeer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLife("a", "b")
		l.table.Fault = func() tabletest.Fault { return tabletest.Refused }
		a := l.members["a"]
		a.record("bluegum")
		a.recorder.sendToPeer()
		if err := l.deliver(0); err != nil {
			t.Fatal(err)
		}
		confirmation := l.posts
		l.posts = nil
		l.restart("b")
		a.recorder.sendToPeer()
		l.posts = confirmation
		if err := l.deliver(0); err != nil {
			t.Fatal(err)
		}
		l.settle(t)
	})
}

// TestCloseWritesWhatEndsLate ends a request while the last totals are being written.
func TestCloseWritesWhatEndsLate(t *testing.T) {
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
	if err := m.recorder.Close(closing(t, f.clock)); err != nil {
		t.Fatal(err)
	}
	table, err := f.stored(m.hello.Incarnation)
	if err != nil || requests(table, "bluegum") != 1 || requests(table, "lustre") != 1 {
		t.Errorf("the table has %+v, %v", table, err)
	}
}

// TestCloseWritesADeadPeersTotals stops the only holder of a killed peer's totals before the peer counts as gone.
func TestCloseWritesADeadPeersTotals(t *testing.T) {
	f := newFleet("a", "b")
	a := f.members["a"]
	a.record("bluegum")
	a.recorder.sendToPeer()
	if err := f.deliver(0); err != nil {
		t.Fatal(err)
	}
	f.members["a"] = nil
	if err := f.members["b"].recorder.Close(closing(t, f.clock)); err != nil {
		t.Fatal(err)
	}
	table, err := f.stored(a.hello.Incarnation)
	if err != nil || requests(table, "bluegum") != 1 {
		t.Errorf("the table has %+v, %v", table, err)
	}
}

// closing bounds a close and moves the clock on whenever it waits.
func closing(t *testing.T, clock *clockwork.FakeClock) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(cancel)
	go func() {
		for clock.BlockUntilContext(ctx, 1) == nil {
			clock.Advance(resendAfter)
		}
	}()
	return ctx
}

// TestOnlyHoldersHearWhatIsStored counts who is told that the table has the totals: a peer that was never sent any has
// nothing to drop.
func TestOnlyHoldersHearWhatIsStored(t *testing.T) {
	f := newFleet("a", "b", "c", "d")
	a := f.members["a"]
	a.record("bluegum")
	a.recorder.sendToPeer()
	f.posts = nil
	if !a.recorder.storeOwn(t.Context(), false) {
		t.Fatal("the table did not take the totals")
	}
	if len(f.posts) != 1 || f.posts[0].to.Instance != "b" || f.posts[0].topic != TopicStored {
		t.Errorf("%d instances were told, want b alone", len(f.posts))
	}
	f.members["b"] = nil
	a.record("bluegum")
	a.recorder.sendToPeer()
	f.start("b")
	f.posts = nil
	a.recorder.storeOwn(t.Context(), false)
	told := map[wire.InstanceName]bool{}
	for _, p := range f.posts {
		told[p.to.Instance] = true
	}
	if len(told) != 2 || !told["b"] || !told["c"] {
		t.Errorf("told %v, want the old holder b and the new one c", told)
	}
}

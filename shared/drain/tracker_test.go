package drain_test

import (
	"slices"
	"testing"
	"time"

	"cowslipshunt.example/shared/drain"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

const goneAfter = 10 * time.Second

func hello(name wire.InstanceName, incarnation wire.IncarnationId) wire.Hello {
	return wire.Hello{Instance: name, Incarnation: incarnation}
}

func answer(name wire.InstanceName, incarnation wire.IncarnationId, inFlight int) wire.DrainAnswer {
	return wire.DrainAnswer{Order: "o", Instance: name, Incarnation: incarnation, InFlight: inFlight}
}

func listed(name wire.InstanceName, phase wire.InstancePhase) wire.InstanceRecord {
	return wire.InstanceRecord{Instance: name, Program: wire.ProgramEntry, Phase: phase}
}

// expectWaiting checks which entries the drain of order o waits for.
func expectWaiting(t *testing.T, tr *drain.Tracker, want ...wire.InstanceName) {
	t.Helper()
	if got := tr.Waiting("o"); !slices.Equal(got, want) {
		t.Errorf("the drain waits for %v, want %v", got, want)
	}
}

// TestDrainWaitsForLinkedIncarnations checks that a drain is complete only when the linked incarnation of each entry has answered
// that nothing is in flight. Answers of other incarnations, and of incarnations that lost their link, must not count.
func TestDrainWaitsForLinkedIncarnations(t *testing.T) {
	tr := drain.NewTracker(clockwork.NewFakeClock(), []wire.InstanceName{"a", "b"}, drain.WithGoneAfter(goneAfter))
	tr.SetLinks([]wire.Hello{hello("a", "a1"), hello("b", "b1")})
	expectWaiting(t, tr, "a", "b")
	tr.RecordAnswer(answer("a", "a1", 0))
	tr.RecordAnswer(answer("b", "b1", 2))
	expectWaiting(t, tr, "b")
	tr.RecordAnswer(answer("b", "b0", 0))
	expectWaiting(t, tr, "b")
	tr.RecordAnswer(answer("b", "b1", 0))
	expectWaiting(t, tr)
	tr.SetLinks([]wire.Hello{hello("a", "a2"), hello("b", "b1")})
	expectWaiting(t, tr, "a")
	tr.SetLinks([]wire.Hello{hello("b", "b1")})
	expectWaiting(t, tr, "a")
	tr.End("o")
	expectWaiting(t, tr, "a", "b")
}

// TestEntryIsGoneOnlyAfterLagWithoutLink checks that a drain stops waiting for an entry only after it was neither linked nor
// listed as live for the whole of goneAfter. An entry that comes back in between starts the time anew.
func TestEntryIsGoneOnlyAfterLagWithoutLink(t *testing.T) {
	clock := clockwork.NewFakeClock()
	tr := drain.NewTracker(clock, []wire.InstanceName{"a", "b"}, drain.WithGoneAfter(goneAfter))
	tr.SetLinks([]wire.Hello{hello("b", "b1")})
	list := []wire.InstanceRecord{listed("a", wire.InstancePhaseLeaving), listed("b", wire.InstancePhaseLeaving)}
	tr.SetInstances(list)
	clock.Advance(goneAfter / 2)
	tr.SetInstances([]wire.InstanceRecord{listed("a", wire.InstancePhaseLive)})
	clock.Advance(goneAfter / 2)
	expectWaiting(t, tr, "a", "b")
	tr.SetInstances(list)
	expectWaiting(t, tr, "a", "b")
	clock.Advance(goneAfter)
	expectWaiting(t, tr, "b")
	tr.SetLinks([]wire.Hello{hello("a", "a2"), hello("b", "b1")})
	expectWaiting(t, tr, "a", "b")
}

package drain_test

import (
	"slices"
	"testing"
	"time"

	"cowslipshunt.example/shared/drain"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

const lag = 10 * time.Second

func hello(name wire.InstanceName, incarnation wire.IncarnationId) wire.Hello {
	return wire.Hello{Instance: name, Incarnation: incarnation}
}

func answer(name wire.InstanceName, incarnation wire.IncarnationId, inFlight int) wire.DrainAnswer {
	return wire.DrainAnswer{Order: "o", Instance: name, Incarnation: incarnation, InFlight: inFlight}
}

func listed(name wire.InstanceName, phase wire.InstancePhase) wire.InstanceRecord {
	return wire.InstanceRecord{Instance: name, Program: wire.ProgramEntry, Phase: phase}
}

func expect(t *testing.T, tr *drain.Tracker, want ...wire.InstanceName) {
	t.Helper()
	if got := tr.Waiting("o"); !slices.Equal(got, want) {
		t.Errorf("waits for %v, want %v", got, want)
	}
}

func TestADrainWaitsForAnswersOfTheLinkedIncarnations(t *testing.T) {
	tr := drain.NewTracker(clockwork.NewFakeClock(), []wire.InstanceName{"a", "b"}, drain.WithGoneAfter(lag))
	tr.Links([]wire.Hello{hello("a", "a1"), hello("b", "b1")})
	expect(t, tr, "a", "b")
	tr.Answer(answer("a", "a1", 0))
	tr.Answer(answer("b", "b1", 2))
	expect(t, tr, "b")
	tr.Answer(answer("b", "b0", 0))
	expect(t, tr, "b")
	tr.Answer(answer("b", "b1", 0))
	expect(t, tr)
	tr.Links([]wire.Hello{hello("a", "a2"), hello("b", "b1")})
	expect(t, tr, "a")
	tr.Links([]wire.Hello{hello("b", "b1")})
	expect(t, tr, "a")
	tr.End("o")
	expect(t, tr, "a", "b")
}

func TestAnEntryIsGoneOnlyAfterTheListsLagWithoutALink(t *testing.T) {
	clock := clockwork.NewFakeClock()
	tr := drain.NewTracker(clock, []wire.InstanceName{"a", "b"}, drain.WithGoneAfter(lag))
	tr.Links([]wire.Hello{hello("b", "b1")})
	list := []wire.InstanceRecord{listed("a", wire.InstancePhaseLeaving), listed("b", wire.InstancePhaseLeaving)}
	tr.Instances(list)
	clock.Advance(lag / 2)
	tr.Instances([]wire.InstanceRecord{listed("a", wire.InstancePhaseLive)})
	clock.Advance(lag / 2)
	expect(t, tr, "a", "b")
	tr.Instances(list)
	expect(t, tr, "a", "b")
	clock.Advance(lag)
	expect(t, tr, "b")
	tr.Links([]wire.Hello{hello("a", "a2"), hello("b", "b1")})
	expect(t, tr, "a", "b")
}

package lease_test

import (
	"fmt"
	"testing"
	"time"

	"cowslipshunt.example/shared/lease"
	"cowslipshunt.example/shared/tabletest"
	"cowslipshunt.example/wire"
)

// TestInstanceThatReturnsAfterTwoReleasesWaits guards against duties that alternate between two instances within a term: a rolling restart
// releases the lease from one instance to the next, and the first one is back at once.
func TestInstanceThatReturnsAfterTwoReleasesWaits(t *testing.T) {
	table := tabletest.New()
	clock := &driftingClocks{wall: time.Unix(1e9, 0), monotonicRate: 1, wallRate: 1}
	start := func(instance wire.InstanceName, incarnation wire.IncarnationId) *lease.Keeper {
		self := lease.Identity{Instance: instance, Incarnation: incarnation}
		return lease.NewKeeper(lease.Usage, self, table, clock, lease.WithTerm(testTerm), lease.WithOrderTimeout(testTimeout))
	}
	step := func(k *lease.Keeper) bool {
		clock.advance(testTimeout / 4)
		if err := k.Step(t.Context()); err != nil {
			t.Fatal(err)
		}
		return k.Belief().Holds
	}
	for i, name := range []wire.InstanceName{"a", "b", "c"} {
		k := start(name, wire.IncarnationId(fmt.Sprint(i)))
		if !step(k) {
			t.Fatalf("%s did not take over a released lease", name)
		}
		if err := k.Release(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if last := start("c", "3"); !step(last) {
		t.Error("the last holder's instance did not take its released lease again")
	} else if err := last.Release(t.Context()); err != nil {
		t.Fatal(err)
	}
	a, began := start("a", "4"), clock.monotonic
	for !step(a) {
		if clock.monotonic-began > 2*(testTerm+testTimeout) {
			t.Fatal("the returning instance never holds the lease")
		}
	}
	if waited := clock.monotonic - began; waited < testTerm {
		t.Errorf("the returning instance held the lease again after %v, want at least %v", waited, testTerm)
	}
}

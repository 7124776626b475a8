package lease_test

import (
	"testing"
	"time"

	"cowslipshunt.example/shared/lease"
	"cowslipshunt.example/shared/tabletest"
)

func TestAFastChallengerOutwaitsASlowHolder(t *testing.T) {
	table := tabletest.New()
	slow := &driftingClocks{monotonicRate: 1 - maxDrift, wallRate: 1 - maxDrift}
	fast := &driftingClocks{monotonicRate: 1 + maxDrift, wallRate: 1 + maxDrift}
	holder := lease.NewKeeper(lease.Usage, lease.Identity{Incarnation: "slow"}, table, slow)
	challenger := lease.NewKeeper(lease.Usage, lease.Identity{Incarnation: "fast"}, table, fast)
	if err := holder.Step(t.Context()); err != nil {
		t.Fatal(err)
	}
	for range 50 {
		if err := challenger.Step(t.Context()); err != nil {
			t.Fatal(err)
		}
		if holder.Belief().Holds && challenger.Belief().Holds {
			t.Fatal("the holder and the challenger both believe that they hold the lease")
		}
		slow.advance(100 * time.Millisecond)
		fast.advance(100 * time.Millisecond)
	}
	if !challenger.Belief().Holds {
		t.Error("the challenger never acquired the lease")
	}
}

package quota_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"cowslipshunt.example/serving/route"
	"cowslipshunt.example/wire"
)

// large is the quota of a large workspace, as of customer C.
var large = route.Quota{Unit: route.Tokens, Rate: 1e6, Burst: 3e6, PlainCost: 1000}

func one(q route.Quota) map[wire.WorkspaceName]route.Quota {
	return map[wire.WorkspaceName]route.Quota{"w": q}
}

// settle is how long a fleet takes to start.
const settle = 6 * time.Second

// testFleet runs a test with a fleet of 3 domains in a bubble.
func testFleet(t *testing.T, perDomain int, quotas map[wire.WorkspaceName]route.Quota, test func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 3, perDomain, quotas)
		time.Sleep(settle)
		test(f)
		f.end()
		f.checkWaits()
	})
}

// checkUsed checks that a workspace ran most of what it asked for and its quota allowed from a time on until now.
func checkUsed(t testing.TB, f *fleet, q route.Quota, from time.Time, least float64) {
	t.Helper()
	f.requests.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	got, limit, asked := costOf(f.runs, "w", from), q.Rate*time.Since(from).Seconds(), costOf(f.asked, "w", from)
	t.Logf("ran %.1f%% of the rate, refused %d of %d requests, %d packets", 100*got/limit, len(f.refused), len(f.refused)+len(f.runs), f.packets)
	if want := min(asked, limit); got < least*want {
		t.Errorf("ran %.0f of %.0f", got, want)
	}
}

// TestHotWorkspaceEverywhere guards against the fault of a run without quotas: a workspace at four times its rate, on 79 instances.
func TestHotWorkspaceEverywhere(t *testing.T) {
	testFleet(t, 26, one(large), func(f *fleet) {
		start := time.Now()
		f.load("w", 4*large.Rate, 20*time.Second, prompts, f.anyInstance)
		f.checkBound("w", large, start)
		checkUsed(t, f, large, start, 0.95)
	})
}

// TestHotWorkspaceAtOneInstance guards against shares by instance: a workspace whose traffic enters at one instance gets its whole limit.
func TestHotWorkspaceAtOneInstance(t *testing.T) {
	testFleet(t, 8, one(large), func(f *fleet) {
		start := time.Now()
		f.load("w", 4*large.Rate, 20*time.Second, prompts, func() *instance { return f.instances[3] })
		f.checkBound("w", large, start)
		checkUsed(t, f, large, start, 0.95)
	})
}

// TestTrafficThatMovesBetweenDomains guards against a limit that stays behind in the domain that the traffic has left.
func TestTrafficThatMovesBetweenDomains(t *testing.T) {
	testFleet(t, 4, one(large), func(f *fleet) {
		start := time.Now()
		for _, d := range []wire.DomainName{"a", "b", "c", "a"} {
			f.load("w", 2*large.Rate, 5*time.Second, prompts, f.inDomain(d))
		}
		f.checkBound("w", large, start)
		checkUsed(t, f, large, start, 0.95)
	})
}

// TestPartitionedDomain guards against a partitioned domain that spends the whole limit beside the others.
func TestPartitionedDomain(t *testing.T) {
	testFleet(t, 4, one(large), func(f *fleet) {
		start := time.Now()
		f.load("w", 3*large.Rate, 5*time.Second, prompts, f.anyInstance)
		f.mu.Lock()
		f.cut["b"] = time.Now()
		f.mu.Unlock()
		f.load("w", 3*large.Rate, 20*time.Second, prompts, f.anyInstance)
		f.mu.Lock()
		delete(f.cut, "b")
		f.mu.Unlock()
		f.load("w", 3*large.Rate, 10*time.Second, prompts, f.anyInstance)
		f.checkBound("w", large, start)
		checkUsed(t, f, large, start, 0.9)
	})
}

// TestAllInstancesKilled guards against a limit that is granted anew with all its burst after a restart.
func TestAllInstancesKilled(t *testing.T) {
	testFleet(t, 4, one(large), func(f *fleet) {
		start := time.Now()
		for range 3 {
			f.load("w", 4*large.Rate, 4*time.Second, prompts, f.anyInstance)
			for _, x := range f.instances {
				x.kill()
				x.start()
			}
		}
		f.load("w", 4*large.Rate, 5*time.Second, prompts, f.anyInstance)
		f.checkBound("w", large, start)
	})
}

// TestCoordinatorsKilledAndFrozen guards against requests that wait for a silent coordinator, and against a successor that grants too much.
func TestCoordinatorsKilledAndFrozen(t *testing.T) {
	testFleet(t, 4, one(large), func(f *fleet) {
		start := time.Now()
		for i, x := range f.instances {
			f.load("w", 3*large.Rate, 2*time.Second, prompts, f.anyInstance)
			if i%2 == 0 {
				x.kill()
				f.load("w", 3*large.Rate, 2*time.Second, prompts, f.anyInstance)
				x.start()
				continue
			}
			x.freeze()
			f.load("w", 3*large.Rate, 2*time.Second, prompts, f.anyInstance)
			x.thaw()
		}
		f.checkBound("w", large, start)
		checkUsed(t, f, large, start, 0.8)
	})
}

// TestLimitLoweredUnderLoad guards against a lower limit that does not bind one window after it was applied.
func TestLimitLoweredUnderLoad(t *testing.T) {
	testFleet(t, 4, one(large), func(f *fleet) {
		f.load("w", 3*large.Rate, 6*time.Second, prompts, f.anyInstance)
		lower := large
		lower.Rate, lower.Burst = 3e5, 5e5
		f.setQuotas(one(lower))
		changed := time.Now()
		f.load("w", 3*large.Rate, 20*time.Second, prompts, f.anyInstance)
		f.checkBound("w", lower, changed.Add(time.Second))
		checkUsed(t, f, lower, changed.Add(time.Second), 0.9)
	})
}

// TestSmallWorkspaceWithLargePrompts guards against small limits of which no instance's share is as large as a prompt, and against a workspace
// that is affected by another one that is over its limit.
func TestSmallWorkspaceWithLargePrompts(t *testing.T) {
	small := route.Quota{Unit: route.Tokens, Rate: 3e4, Burst: 1e5, PlainCost: 1000}
	quotas := map[wire.WorkspaceName]route.Quota{"w": large, "s": small}
	testFleet(t, 8, quotas, func(f *fleet) {
		start := time.Now()
		go f.load("w", 4*large.Rate, 30*time.Second, prompts, f.anyInstance)
		f.load("s", 0.8*small.Rate, 30*time.Second, func(r *rand.Rand) float64 { return 9200 }, f.anyInstance)
		time.Sleep(time.Second)
		f.checkBound("w", large, start)
		f.checkBound("s", small, start)
		for _, r := range f.refused {
			if r.workspace == "s" {
				t.Fatalf("a request within the quota was refused after %v", r.at.Sub(start))
			}
		}
	})
}

// TestRequestsAreCounted guards against quotas of requests that are counted in tokens.
func TestRequestsAreCounted(t *testing.T) {
	q := route.Quota{Rate: 50, Burst: 100}
	testFleet(t, 4, one(q), func(f *fleet) {
		start := time.Now()
		f.load("w", 4*q.Rate, 20*time.Second, func(*rand.Rand) float64 { return 1 }, f.anyInstance)
		f.checkBound("w", q, start)
		checkUsed(t, f, q, start, 0.95)
	})
}

// TestLowLoadIsAdmitted guards against refusals far below the limit, and against waits for other instances there.
func TestLowLoadIsAdmitted(t *testing.T) {
	testFleet(t, 8, one(large), func(f *fleet) {
		f.mu.Lock()
		f.lost = 0.01
		f.mu.Unlock()
		f.load("w", 0.4*large.Rate, 20*time.Second, prompts, f.anyInstance)
		f.requests.Wait()
		f.mu.Lock()
		defer f.mu.Unlock()
		waited := 0
		for _, d := range f.waits {
			if d > 0 {
				waited++
			}
		}
		t.Logf("refused %d, waited %d of %d, %d packets", len(f.refused), waited, len(f.waits), f.packets)
		if len(f.refused) > 0 {
			t.Errorf("refused %d of %d requests", len(f.refused), len(f.runs)+len(f.refused))
		}
	})
}

package speed_test

import (
	"math"
	"testing"
	"time"

	"cowslipshunt.example/serving/speed"
	"pgregory.net/rapid"
)

var now = time.Unix(1e9, 0)

func TestEstimateNeedsSeveralSamplesAndExpires(t *testing.T) {
	var e speed.Estimate
	for i := range 6 {
		if e.Factor(now) != 1 || e.Known(now) {
			t.Errorf("the estimate is %v after %d samples", e.Factor(now), i)
		}
		if changed := e.Observe(0.7, now); changed != (i == 5) {
			t.Errorf("sample %d: changed is %v", i, changed)
		}
	}
	if e.Factor(now) != 0.7 || e.Age(now.Add(time.Second)) != time.Second {
		t.Errorf("the estimate is %v", e.Factor(now))
	}
	if later := now.Add(6 * time.Minute); e.Factor(later) != 1 || e.Known(later) {
		t.Error("the estimate has not expired")
	}
}

// TestFewFalseSamplesDoNotMatter guards against an estimate that prompts delayed by others' queues, or read from an unknown cache, falsify.
func TestFewFalseSamplesDoNotMatter(t *testing.T) {
	var e speed.Estimate
	for i := range 48 {
		switch {
		case i%6 == 0:
			e.Observe(100, now)
		case i%2 == 0:
			e.Observe(0.01, now)
		default:
			e.Observe(1.7, now)
		}
	}
	if e.Factor(now) != 1.7 {
		t.Errorf("the estimate is %v, want 1.7", e.Factor(now))
	}
}

func TestEstimateIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e speed.Estimate
		at := now
		for range rapid.IntRange(0, 60).Draw(t, "samples") {
			at = at.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "seconds")) * time.Second)
			e.Observe(rapid.OneOf(rapid.Float64(), rapid.Just(math.NaN()), rapid.Just(math.Inf(1))).Draw(t, "factor"), at)
			if f := e.Factor(at); !(f >= 1.0/8 && f <= 8) {
				t.Fatalf("the estimate is %v", f)
			}
		}
	})
}

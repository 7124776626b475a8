package main

import (
	"testing"
	"time"
)

// shortened cuts a trace to a length that a test can afford.
func shortened(name string) trace {
	for _, tr := range traces() {
		if tr.name == name {
			tr.length = 20 * time.Second
			tr.lostAt, tr.backAt = tr.lostAt/6, tr.backAt/6
			return tr
		}
	}
	panic("no such trace")
}

// TestRunsRepeatAndEndEveryRequest holds each variant to the same figures for the same seed, and to one outcome for each
// request.
func TestRunsRepeatAndEndEveryRequest(t *testing.T) {
	for _, name := range []string{"greedy", "loss"} {
		for _, v := range variants() {
			tr := shortened(name)
			f := newFleet(tr, v, 1)
			first := f.run()
			if again := newFleet(tr, v, 1).run(); again != first {
				t.Errorf("%s, %s: %v, then %v", name, v.name, first, again)
			}
			if f.begun == 0 || f.begun != len(f.outcomes) {
				t.Errorf("%s, %s: %d requests began, %d ended", name, v.name, f.begun, len(f.outcomes))
			}
		}
	}
}

func TestMaxMinGivesTheLeastFirst(t *testing.T) {
	got := maxMin([]float64{100, 1, 5}, 12)
	if got[0] != 6 || got[1] != 1 || got[2] != 5 {
		t.Errorf("got %v", got)
	}
}

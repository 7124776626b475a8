package main

import (
	"testing"
	"time"
)

// shortened returns the named trace cut to 20 seconds, with its loss and recovery six times earlier.
func shortened(name string) trace {
	for _, tr := range traces() {
		if tr.name == name {
			tr.length = 20 * time.Second
			tr.lossAt, tr.recoveryAt = tr.lossAt/6, tr.recoveryAt/6
			return tr
		}
	}
	panic("no such trace")
}

// TestRunsAreDeterministicAndEndEveryRequest checks that a variant yields the same figures for the same seed, and that each
// request has exactly one outcome.
func TestRunsAreDeterministicAndEndEveryRequest(t *testing.T) {
	for _, name := range []string{"greedy", "loss"} {
		for _, v := range variants() {
			tr := shortened(name)
			f := newFleet(tr, v, 1)
			first := f.run()
			if again := newFleet(tr, v, 1).run(); again != first {
				t.Errorf("%s, %s: %v, then %v", name, v.name, first, again)
			}
			if f.started == 0 || f.started != len(f.outcomes) {
				t.Errorf("%s, %s: %d requests began, %d ended", name, v.name, f.started, len(f.outcomes))
			}
		}
	}
}

func TestMaxMinMeetsSmallestDemandsFirst(t *testing.T) {
	got := maxMin([]float64{100, 1, 5}, 12)
	if got[0] != 6 || got[1] != 1 || got[2] != 5 {
		t.Errorf("got %v", got)
	}
}

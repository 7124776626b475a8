package placement_test

import (
	"testing"

	"cowslipshunt.example/serving/placement"
	"cowslipshunt.example/serving/roster"
)

// TestChoiceAmongManyEnginesAllocatesNothing is the pattern of a large fleet: some hundred engines, and small instances that choose
// among them a few times for each prompt. What a choice costs may grow with the engines, but not beyond one look at each.
func TestChoiceAmongManyEnginesAllocatesNothing(t *testing.T) {
	suited := engines(80, roster.Prefill, "a", "b", "c")
	q := prompt("p", 13300, 3720)
	need := placement.Need{Stage: roster.Prefill, Near: "a"}
	if n := testing.AllocsPerRun(100, func() { placement.Reader(suited, &q, need, now) }); n > 0 {
		t.Errorf("a choice among %d engines makes %v allocations", len(suited), n)
	}
}

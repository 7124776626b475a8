package placement_test

import (
	"testing"

	"cowslipshunt.example/serving/placement"
	"cowslipshunt.example/serving/roster"
)

// TestChoiceAmongManyEnginesAllocatesNothing guards against a choice that is too expensive in a large fleet, where small
// instances choose among some hundred engines a few times for each prompt. The cost may grow linearly with the number of engines.
func TestChoiceAmongManyEnginesAllocatesNothing(t *testing.T) {
	eligible := engines(80, roster.Prefill, "a", "b", "c")
	p := prompt("p", 13300, 3720)
	need := placement.Need{Stage: roster.Prefill, Near: "a"}
	if n := testing.AllocsPerRun(100, func() { placement.ChoosePrefill(eligible, &p, need, now) }); n > 0 {
		t.Errorf("a choice among %d engines makes %v allocations", len(eligible), n)
	}
}

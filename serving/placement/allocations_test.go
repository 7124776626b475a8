package placement_test

import (
	"fmt"
	"math"
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

// TestContendedChoicesAllocateNothing is the same guard for contended services.
func TestContendedChoicesAllocateNothing(t *testing.T) {
	eligible := engines(80, roster.Prefill, "a", "b", "c")
	p := prompt("p", 13300, 3720)
	need := placement.Need{Stage: roster.Prefill, Near: "a", Contended: true, TieBreak: 7}
	n := testing.AllocsPerRun(100, func() {
		placement.ChoosePrefill(eligible, &p, need, now)
		placement.ChooseDecodeNearSource(eligible, &p, need, "b", now)
	})
	if n > 0 {
		t.Errorf("two choices among %d engines make %v allocations", len(eligible), n)
	}
}

func BenchmarkChoosePrefill(b *testing.B) {
	for _, n := range []int{8, 140} {
		for _, contended := range []bool{false, true} {
			b.Run(fmt.Sprintf("engines=%d/contended=%v", n, contended), func(b *testing.B) {
				eligible := engines(n, roster.Prefill, "a")
				p := prompt("p", 13300, 3720)
				need := placement.Need{Stage: roster.Prefill, Near: "a", Contended: contended, TieBreak: 7}
				b.ReportAllocs()
				for b.Loop() {
					placement.ChoosePrefill(eligible, &p, need, now)
				}
			})
		}
	}
}

// TestFalseTokenCountsAreBounded guards against callers whose false token counts make an engine look busy to all instances.
func TestFalseTokenCountsAreBounded(t *testing.T) {
	for _, tokens := range []int{-1, math.MinInt, 1 << 40, math.MaxInt} {
		p := placement.NewPrompt(tokens, 1, []placement.Part{{Name: "a", Tokens: -tokens}, {Name: "b", Tokens: tokens}})
		for cached := range 3 {
			if n := p.UncachedTokens(cached); n < 0 || n > 1<<20 {
				t.Errorf("%d tokens with %d cached parts count as %d", tokens, cached, n)
			}
		}
	}
}

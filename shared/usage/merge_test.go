package usage_test

import (
	"testing"

	"cowslipshunt.example/shared/usage"
	"cowslipshunt.example/wire"
	"pgregory.net/rapid"
)

// TestMergedTotalsLoseNothing merges a meter's messages repeatedly and in any order. The result must be the meter's totals,
// also if a change did not increase the number of requests: a merge that picks the newer figure by its requests would lose it.
func TestMergedTotalsLoseNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		meter := usage.NewMeter("i")
		var sent []wire.UsageTotals
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			meter.Add(drawFigure(t))
			sent = append(sent, meter.Since(rapid.IntRange(0, meter.Sequence()-1).Draw(t, "since")))
		}
		sent = append(sent, meter.Since(0))
		var merged wire.UsageTotals
		for _, i := range rapid.Permutation(indices(sent)).Draw(t, "order") {
			merged = usage.Merge(merged, sent[i])
			merged = usage.Merge(sent[rapid.IntRange(0, i).Draw(t, "repeat")], merged)
		}
		want := usage.Merge(wire.UsageTotals{}, meter.Since(0))
		if !usage.SameFigures(merged, want) || merged.Sequence != want.Sequence {
			t.Fatalf("merged totals are %+v, want the meter's %+v", merged, want)
		}
	})
}

func drawFigure(t *rapid.T) wire.UsageFigure {
	return wire.UsageFigure{
		Workspace:    wire.WorkspaceName(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "workspace")),
		Model:        "m",
		Requests:     rapid.IntRange(0, 1).Draw(t, "requests"),
		OutputTokens: wire.TokenCount(rapid.IntRange(0, 9).Draw(t, "tokens")),
		Cost:         wire.CostMicros(rapid.IntRange(0, 9).Draw(t, "cost")),
	}
}

func indices(list []wire.UsageTotals) []int {
	var all []int
	for i := range list {
		all = append(all, i)
	}
	return all
}

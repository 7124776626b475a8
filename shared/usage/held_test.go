package usage_test

import (
	"reflect"
	"testing"

	"cowslipshunt.example/shared/usage"
	"cowslipshunt.example/wire"
	"pgregory.net/rapid"
)

// drawTotals generates a message of one incarnation. As in real totals, a figure with more requests has more output tokens.
func drawTotals(t *rapid.T) wire.UsageTotals {
	totals := wire.UsageTotals{Incarnation: "incarnation", Sequence: rapid.IntRange(1, 9).Draw(t, "sequence")}
	for _, model := range rapid.SliceOfNDistinct(rapid.IntRange(0, 3), 1, 4, rapid.ID[int]).Draw(t, "models") {
		requests := rapid.IntRange(1, 5).Draw(t, "requests")
		f := benchFigure(0, model)
		f.Requests, f.OutputTokens = requests, wire.TokenCount(270*requests)
		totals.Figures = append(totals.Figures, f)
	}
	return totals
}

func TestHeldIsTheMergeOfAllMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		held := usage.NewPeerTotals()
		var want wire.UsageTotals
		for _, totals := range rapid.SliceOfN(rapid.Custom(drawTotals), 1, 8).Draw(t, "messages") {
			if !held.Merge("peer", totals) {
				t.Fatal("the totals are not held")
			}
			want = usage.Merge(want, totals)
		}
		if got := held.ForInstance("peer"); len(got) != 1 || !reflect.DeepEqual(got[0], want) {
			t.Fatalf("got %+v, want %+v", got, want)
		}
		held.DropStored("incarnation", want.Sequence-1)
		if len(held.Instances()) != 1 {
			t.Fatal("totals were dropped before the table had them")
		}
		held.DropStored("incarnation", want.Sequence)
		if len(held.Instances()) != 0 {
			t.Fatal("totals are still held although the table has them")
		}
	})
}

func TestHeldKeepsWhatEachIncarnationSent(t *testing.T) {
	held := usage.NewPeerTotals()
	for _, incarnation := range []wire.IncarnationId{"old", "new"} {
		held.Merge("peer", wire.UsageTotals{Incarnation: incarnation, Sequence: 1, Figures: []wire.UsageFigure{benchFigure(0, 0)}})
	}
	held.DropStored("unknown", 9)
	if got := held.ForInstance("peer"); len(got) != 2 {
		t.Fatalf("got %d incarnations, want 2", len(got))
	}
}

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

func TestPeerTotalsAreTheMergeOfAllMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peers := usage.NewPeerTotals()
		var want wire.UsageTotals
		for _, totals := range rapid.SliceOfN(rapid.Custom(drawTotals), 1, 8).Draw(t, "messages") {
			if !peers.Merge("peer", totals) {
				t.Fatal("the totals were not stored")
			}
			want = usage.Merge(want, totals)
		}
		if got := peers.ForInstance("peer"); len(got) != 1 || !reflect.DeepEqual(got[0], want) {
			t.Fatalf("got %+v, want %+v", got, want)
		}
		peers.DropStored("incarnation", want.Sequence-1)
		if len(peers.Instances()) != 1 {
			t.Fatal("totals were dropped before the table had them")
		}
		peers.DropStored("incarnation", want.Sequence)
		if len(peers.Instances()) != 0 {
			t.Fatal("totals are still stored although the table has them")
		}
	})
}

func TestPeerTotalsKeepWhatEachIncarnationSent(t *testing.T) {
	peers := usage.NewPeerTotals()
	for _, incarnation := range []wire.IncarnationId{"old", "new"} {
		peers.Merge("peer", wire.UsageTotals{Incarnation: incarnation, Sequence: 1, Figures: []wire.UsageFigure{benchFigure(0, 0)}})
	}
	peers.DropStored("unknown", 9)
	if got := peers.ForInstance("peer"); len(got) != 2 {
		t.Fatalf("got %d incarnations, want 2", len(got))
	}
}

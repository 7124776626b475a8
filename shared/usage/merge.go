package usage

import (
	"cmp"
	"slices"

	"cowslipshunt.example/wire"
)

// Merge combines two cumulative totals of one incarnation by keeping the larger value of each counter. It is idempotent,
// commutative and associative, so totals may arrive late, repeatedly or out of order.
func Merge(a, b wire.UsageTotals) wire.UsageTotals {
	merged := make(map[counterKey]wire.UsageFigure, max(len(a.Figures), len(b.Figures)))
	for _, figures := range [][]wire.UsageFigure{a.Figures, b.Figures} {
		for _, f := range figures {
			mergeFigure(merged, f)
		}
	}
	return wire.UsageTotals{
		Incarnation: cmp.Or(a.Incarnation, b.Incarnation),
		Sequence:    max(a.Sequence, b.Sequence),
		Figures:     sortedFigures(merged),
	}
}

// mergeFigure merges f into the figure of the same workspace and model.
func mergeFigure(figures map[counterKey]wire.UsageFigure, f wire.UsageFigure) {
	key := counterKey{workspace: f.Workspace, model: f.Model}
	figures[key] = maxFigure(figures[key], f)
}

// sortedFigures returns the figures sorted by workspace and model, or nil if there are none.
func sortedFigures(figures map[counterKey]wire.UsageFigure) []wire.UsageFigure {
	if len(figures) == 0 {
		return nil
	}
	list := make([]wire.UsageFigure, 0, len(figures))
	for _, f := range figures {
		list = append(list, f)
	}
	sortFigures(list)
	return list
}

// maxFigure returns the larger value of each counter of a and b, which is the newer one because counters only increase.
func maxFigure(a, b wire.UsageFigure) wire.UsageFigure {
	b.Requests = max(a.Requests, b.Requests)
	b.PromptTokens = max(a.PromptTokens, b.PromptTokens)
	b.OutputTokens = max(a.OutputTokens, b.OutputTokens)
	b.Cost = max(a.Cost, b.Cost)
	return b
}

func sortFigures(figures []wire.UsageFigure) {
	slices.SortFunc(figures, func(a, b wire.UsageFigure) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Model, b.Model))
	})
}

// SameFigures reports whether two results of Merge have equal figures. Sequence numbers are not compared.
func SameFigures(a, b wire.UsageTotals) bool {
	return slices.Equal(a.Figures, b.Figures)
}

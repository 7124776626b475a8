package usage

import (
	"cmp"
	"slices"

	"cowslipshunt.example/wire"
)

// Merge returns the larger of two cumulative totals of one incarnation, counter by counter. It is idempotent and does not
// depend on order, so late, repeated and crossed totals do no harm.
func Merge(a, b wire.UsageTotals) wire.UsageTotals {
	larger := map[cell]wire.UsageFigure{}
	for _, f := range slices.Concat(a.Figures, b.Figures) {
		at := cell{workspace: f.Workspace, model: f.Model}
		larger[at] = largest(larger[at], f)
	}
	merged := wire.UsageTotals{Incarnation: a.Incarnation, Sequence: max(a.Sequence, b.Sequence)}
	if merged.Incarnation == "" {
		merged.Incarnation = b.Incarnation
	}
	for _, f := range larger {
		merged.Figures = append(merged.Figures, f)
	}
	SortFigures(merged.Figures)
	return merged
}

// largest takes each counter's larger value: they only rise.
func largest(a, b wire.UsageFigure) wire.UsageFigure {
	b.Requests = max(a.Requests, b.Requests)
	b.PromptTokens = max(a.PromptTokens, b.PromptTokens)
	b.OutputTokens = max(a.OutputTokens, b.OutputTokens)
	b.Cost = max(a.Cost, b.Cost)
	return b
}

// SortFigures orders figures by workspace and model.
func SortFigures(figures []wire.UsageFigure) {
	slices.SortFunc(figures, func(a, b wire.UsageFigure) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Model, b.Model))
	})
}

// Same tells whether two merged totals hold the same figures.
func Same(a, b wire.UsageTotals) bool {
	return slices.Equal(a.Figures, b.Figures)
}

package usage

import (
	"cmp"
	"slices"

	"cowslipshunt.example/wire"
)

// Merge returns the larger of two cumulative totals of one incarnation, counter by counter. It is idempotent and does not
// depend on order, so late, repeated and crossed totals do no harm.
func Merge(a, b wire.UsageTotals) wire.UsageTotals {
	larger := make(map[cell]wire.UsageFigure, max(len(a.Figures), len(b.Figures)))
	for _, figures := range [][]wire.UsageFigure{a.Figures, b.Figures} {
		for _, f := range figures {
			takeLarger(larger, f)
		}
	}
	return wire.UsageTotals{
		Incarnation: cmp.Or(a.Incarnation, b.Incarnation),
		Sequence:    max(a.Sequence, b.Sequence),
		Figures:     sorted(larger),
	}
}

// takeLarger raises a cell's figure to another one, counter by counter.
func takeLarger(figures map[cell]wire.UsageFigure, f wire.UsageFigure) {
	at := cell{workspace: f.Workspace, model: f.Model}
	figures[at] = largest(figures[at], f)
}

// sorted returns figures in their order, nil for none.
func sorted(figures map[cell]wire.UsageFigure) []wire.UsageFigure {
	if len(figures) == 0 {
		return nil
	}
	list := make([]wire.UsageFigure, 0, len(figures))
	for _, f := range figures {
		list = append(list, f)
	}
	SortFigures(list)
	return list
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

package usage

import (
	"cmp"
	"slices"

	"cowslipshunt.example/wire"
)

// totalsSet holds, for each incarnation, the totals with the highest sequence number.
type totalsSet struct {
	byIncarnation map[wire.IncarnationId]wire.UsageTotals
}

func newTotalsSet(list []wire.UsageTotals) *totalsSet {
	s := &totalsSet{byIncarnation: map[wire.IncarnationId]wire.UsageTotals{}}
	for _, t := range list {
		s.add(t)
	}
	return s
}

// add stores t unless the set has totals of the same incarnation that are at least as new.
func (s *totalsSet) add(t wire.UsageTotals) {
	if current, ok := s.byIncarnation[t.Incarnation]; !ok || t.Sequence > current.Sequence {
		s.byIncarnation[t.Incarnation] = t
	}
}

// list returns the totals sorted by incarnation.
func (s *totalsSet) list() []wire.UsageTotals {
	list := make([]wire.UsageTotals, 0, len(s.byIncarnation))
	for _, t := range s.byIncarnation {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b wire.UsageTotals) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return list
}

// figureKey identifies a figure within a window.
type figureKey struct {
	workspace wire.WorkspaceName
	model     wire.ModelName
}

// subtract returns the usage between two sets of cumulative totals: the sum over after minus the sum over before, for each
// workspace and model. The figures are sorted by workspace and model; figures that are all zero are left out.
func subtract(after, before []wire.UsageTotals) []wire.UsageFigure {
	sums := map[figureKey]wire.UsageFigure{}
	addTotals(sums, after, 1)
	addTotals(sums, before, -1)
	figures := make([]wire.UsageFigure, 0, len(sums))
	for key, f := range sums {
		if f != (wire.UsageFigure{Workspace: key.workspace, Model: key.model}) {
			figures = append(figures, f)
		}
	}
	slices.SortFunc(figures, func(a, b wire.UsageFigure) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Model, b.Model))
	})
	return figures
}

// addTotals adds every figure of totals, times sign, to sums.
func addTotals(sums map[figureKey]wire.UsageFigure, totals []wire.UsageTotals, sign int) {
	for _, t := range totals {
		for _, f := range t.Figures {
			key := figureKey{workspace: f.Workspace, model: f.Model}
			sum := sums[key]
			sum.Workspace, sum.Model = f.Workspace, f.Model
			sum.Requests += sign * f.Requests
			sum.PromptTokens += wire.TokenCount(sign) * f.PromptTokens
			sum.OutputTokens += wire.TokenCount(sign) * f.OutputTokens
			sum.Cost += wire.CostMicros(sign) * f.Cost
			sums[key] = sum
		}
	}
}

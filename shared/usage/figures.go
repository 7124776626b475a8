package usage

import (
	"cmp"
	"slices"

	"cowslipshunt.example/wire"
)

// totalsSet keeps the newest totals of each incarnation.
type totalsSet struct {
	newest map[wire.IncarnationId]wire.UsageTotals
}

func newTotalsSet(list []wire.UsageTotals) *totalsSet {
	s := &totalsSet{newest: map[wire.IncarnationId]wire.UsageTotals{}}
	for _, t := range list {
		s.add(t)
	}
	return s
}

func (s *totalsSet) add(t wire.UsageTotals) {
	if known, ok := s.newest[t.Incarnation]; !ok || t.Sequence > known.Sequence {
		s.newest[t.Incarnation] = t
	}
}

// list returns the totals in the order of their incarnations.
func (s *totalsSet) list() []wire.UsageTotals {
	list := make([]wire.UsageTotals, 0, len(s.newest))
	for _, t := range s.newest {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b wire.UsageTotals) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return list
}

// account is what one figure counts for.
type account struct {
	workspace wire.WorkspaceName
	model     wire.ModelName
}

// less returns the figures of now less those of before, in order and without zeros.
func less(now, before []wire.UsageTotals) []wire.UsageFigure {
	sums := map[account]wire.UsageFigure{}
	addAll(sums, now, 1)
	addAll(sums, before, -1)
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

func addAll(sums map[account]wire.UsageFigure, totals []wire.UsageTotals, sign int) {
	for _, t := range totals {
		for _, f := range t.Figures {
			key := account{workspace: f.Workspace, model: f.Model}
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

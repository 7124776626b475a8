package main

import (
	"cmp"
	"slices"
	"sync"

	"cowslipshunt.example/wire"
)

// Usage is the usage interface. It accepts one set of figures per window.
type Usage struct {
	mu       sync.Mutex
	accepted map[int][]wire.UsageFigure
	received []wire.UsageReport
}

// NewUsage returns a usage interface without reports.
func NewUsage() *Usage {
	return &Usage{accepted: map[int][]wire.UsageFigure{}, received: []wire.UsageReport{}}
}

// Report accepts the figures of a window. A repeated report with the same figures in any order is accepted too; one with other
// figures is rejected with status 409.
func (u *Usage) Report(r wire.UsageReport) error {
	figures := sortedFigures(r.Figures)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.received = append(u.received, r)
	previous, ok := u.accepted[r.Window]
	if !ok {
		u.accepted[r.Window] = figures
		return nil
	}
	if !slices.Equal(previous, figures) {
		return conflict("window %d was reported with other figures", r.Window)
	}
	return nil
}

// Received returns all reports received, including repeated and rejected ones.
func (u *Usage) Received() wire.UsageReportList {
	u.mu.Lock()
	defer u.mu.Unlock()
	return wire.UsageReportList{Reports: slices.Clone(u.received)}
}

func sortedFigures(figures []wire.UsageFigure) []wire.UsageFigure {
	return slices.SortedFunc(slices.Values(figures), func(a, b wire.UsageFigure) int {
		return cmp.Or(
			cmp.Compare(a.Workspace, b.Workspace),
			cmp.Compare(a.Model, b.Model),
			cmp.Compare(a.Requests, b.Requests),
			cmp.Compare(a.PromptTokens, b.PromptTokens),
			cmp.Compare(a.OutputTokens, b.OutputTokens),
			cmp.Compare(a.Cost, b.Cost),
		)
	})
}

package main

import (
	"cmp"
	"slices"
	"sync"

	"cowslipshunt.example/wire"
)

// Usage is the usage interface: one set of figures a window.
type Usage struct {
	mu       sync.Mutex
	accepted map[int][]wire.UsageFigure
	received []wire.UsageReport
}

// NewUsage returns a usage interface without reports.
func NewUsage() *Usage {
	return &Usage{accepted: map[int][]wire.UsageFigure{}, received: []wire.UsageReport{}}
}

// Report accepts a window's figures, in any order, and refuses others for the same window.
func (u *Usage) Report(r wire.UsageReport) error {
	figures := sortedFigures(r.Figures)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.received = append(u.received, r)
	known, ok := u.accepted[r.Window]
	if !ok {
		u.accepted[r.Window] = figures
		return nil
	}
	if !slices.Equal(known, figures) {
		return conflicting("window %d was reported with other figures", r.Window)
	}
	return nil
}

// Received returns every report received, also repeats and refused ones.
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

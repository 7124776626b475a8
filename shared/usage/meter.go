// Package usage counts what each workspace used, keeps the counts safe and closes them into windows.
package usage

import (
	"sync"

	"cowslipshunt.example/wire"
)

// cell names one cumulative counter.
type cell struct {
	workspace wire.WorkspaceName
	model     wire.ModelName
}

type counter struct {
	figure   wire.UsageFigure
	sequence int
}

// Meter holds one incarnation's cumulative usage. Each request raises it once, when its outcome is known.
type Meter struct {
	incarnation wire.IncarnationId

	mu       sync.Mutex
	sequence int
	counters map[cell]*counter
}

// NewMeter returns a meter at zero.
func NewMeter(incarnation wire.IncarnationId) *Meter {
	return &Meter{incarnation: incarnation, counters: map[cell]*counter{}}
}

// Add raises the counters by one request's figures and returns the sequence number that includes it.
func (m *Meter) Add(f wire.UsageFigure) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	at := cell{workspace: f.Workspace, model: f.Model}
	c, known := m.counters[at]
	if !known {
		c = &counter{figure: wire.UsageFigure{Workspace: f.Workspace, Model: f.Model}}
		m.counters[at] = c
	}
	c.figure = sum(c.figure, f)
	c.sequence = m.sequence
	return m.sequence
}

// Sequence returns the number of the newest change.
func (m *Meter) Sequence() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sequence
}

// Since returns the counters that changed behind a sequence number; zero returns them all.
func (m *Meter) Since(sequence int) wire.UsageTotals {
	m.mu.Lock()
	defer m.mu.Unlock()
	totals := wire.UsageTotals{Incarnation: m.incarnation, Sequence: m.sequence}
	for _, c := range m.counters {
		if c.sequence > sequence {
			totals.Figures = append(totals.Figures, c.figure)
		}
	}
	return totals
}

func sum(a, b wire.UsageFigure) wire.UsageFigure {
	a.Requests += b.Requests
	a.PromptTokens += b.PromptTokens
	a.OutputTokens += b.OutputTokens
	a.Cost += b.Cost
	return a
}

// Package usage counts the requests, tokens and cost of each workspace and model, protects the counts against the loss of
// an instance, and freezes them in usage windows that are reported to the platform.
package usage

import (
	"sync"

	"cowslipshunt.example/wire"
)

// counterKey identifies a cumulative counter.
type counterKey struct {
	workspace wire.WorkspaceName
	model     wire.ModelName
}

type counter struct {
	figure wire.UsageFigure
	// sequence is the meter's sequence number at the counter's last change.
	sequence int
}

// Meter counts the cumulative usage of one incarnation. Each request is added once, when its outcome is known.
// It is safe for concurrent use.
type Meter struct {
	incarnation wire.IncarnationId

	mu       sync.Mutex
	sequence int
	counters map[counterKey]*counter
}

// NewMeter returns a meter whose counters are zero.
func NewMeter(incarnation wire.IncarnationId) *Meter {
	return &Meter{incarnation: incarnation, counters: map[counterKey]*counter{}}
}

// Add adds one request's figures to its counter and returns the sequence number of this change.
func (m *Meter) Add(f wire.UsageFigure) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	key := counterKey{workspace: f.Workspace, model: f.Model}
	c, ok := m.counters[key]
	if !ok {
		c = &counter{figure: wire.UsageFigure{Workspace: f.Workspace, Model: f.Model}}
		m.counters[key] = c
	}
	c.figure = addFigure(c.figure, f)
	c.sequence = m.sequence
	return m.sequence
}

// Sequence returns the sequence number of the last change, or zero if there was none.
func (m *Meter) Sequence() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sequence
}

// Since returns the counters that changed after a sequence number, in no particular order. Zero returns all counters.
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

func addFigure(a, b wire.UsageFigure) wire.UsageFigure {
	a.Requests += b.Requests
	a.PromptTokens += b.PromptTokens
	a.OutputTokens += b.OutputTokens
	a.Cost += b.Cost
	return a
}

package main

import (
	"sync"
	"time"

	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

// loadStep is the minimum time between two entries of the history; changes within it are merged.
const loadStep = time.Millisecond

// loadHistory reports an engine's load as it was one lag ago.
type loadHistory struct {
	clock clockwork.Clock
	lag   time.Duration
	mu    sync.Mutex
	// history has the newest load last; the first is the one that is reported.
	history []wire.EngineLoad
}

func newLoadHistory(clock clockwork.Clock, lag time.Duration, blocks int) *loadHistory {
	first := wire.EngineLoad{At: clock.Now().Add(-lag), PiecesTotal: blocks}
	return &loadHistory{clock: clock, lag: lag, history: []wire.EngineLoad{first}}
}

func (h *loadHistory) setRequests(running, waiting int) {
	h.change(func(l *wire.EngineLoad) {
		l.Running, l.Waiting = running, waiting
	})
}

func (h *loadHistory) setBlocks(used int) {
	h.change(func(l *wire.EngineLoad) {
		l.PiecesUsed = used
	})
}

// lagging returns the load of one lag ago, with that time.
func (h *loadHistory) lagging() wire.EngineLoad {
	h.mu.Lock()
	defer h.mu.Unlock()
	visibleAt := h.clock.Now().Add(-h.lag)
	h.dropBefore(visibleAt)
	load := h.history[0]
	load.At = visibleAt
	return load
}

func (h *loadHistory) change(set func(*wire.EngineLoad)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	h.dropBefore(now.Add(-h.lag))
	newest := h.history[len(h.history)-1]
	set(&newest)
	if now.Sub(newest.At) < loadStep {
		h.history[len(h.history)-1] = newest
		return
	}
	newest.At = now
	h.history = append(h.history, newest)
}

// dropBefore drops the loads that were replaced at or before visibleAt.
func (h *loadHistory) dropBefore(visibleAt time.Time) {
	n := 0
	for n+1 < len(h.history) && !h.history[n+1].At.After(visibleAt) {
		n++
	}
	h.history = h.history[n:]
}

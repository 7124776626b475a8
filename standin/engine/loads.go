package main

import (
	"sync"
	"time"

	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

// loadStep is the least time between two remembered loads.
const loadStep = time.Millisecond

// loadHistory shows an engine's load as it was some time ago.
type loadHistory struct {
	clock clockwork.Clock
	lag   time.Duration
	mu    sync.Mutex
	// past has the newest load last; its first is the one in sight.
	past []wire.EngineLoad
}

func newLoadHistory(clock clockwork.Clock, lag time.Duration, pieces int) *loadHistory {
	first := wire.EngineLoad{At: clock.Now().Add(-lag), PiecesTotal: pieces}
	return &loadHistory{clock: clock, lag: lag, past: []wire.EngineLoad{first}}
}

func (h *loadHistory) setRequests(running, waiting int) {
	h.change(func(l *wire.EngineLoad) {
		l.Running, l.Waiting = running, waiting
	})
}

func (h *loadHistory) setPieces(used int) {
	h.change(func(l *wire.EngineLoad) {
		l.PiecesUsed = used
	})
}

// lagging returns the load in sight, at the time that it stands for.
func (h *loadHistory) lagging() wire.EngineLoad {
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := h.clock.Now().Add(-h.lag)
	h.forget(seen)
	load := h.past[0]
	load.At = seen
	return load
}

func (h *loadHistory) change(set func(*wire.EngineLoad)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	h.forget(now.Add(-h.lag))
	newest := h.past[len(h.past)-1]
	set(&newest)
	if now.Sub(newest.At) < loadStep {
		h.past[len(h.past)-1] = newest
		return
	}
	newest.At = now
	h.past = append(h.past, newest)
}

// forget drops what came before the load in sight.
func (h *loadHistory) forget(seen time.Time) {
	n := 0
	for n+1 < len(h.past) && !h.past[n+1].At.After(seen) {
		n++
	}
	h.past = h.past[n:]
}

package usage

import (
	"sync"

	"cowslipshunt.example/wire"
)

// maxHeld bounds how many other incarnations' totals an entry holds. At the bound a new one is not confirmed, and its
// owner turns to another peer.
const maxHeld = 1024

// Held keeps the newest totals of peers until the table has them.
type Held struct {
	mu     sync.Mutex
	totals map[wire.IncarnationId]*heldTotals
}

// heldTotals is what one peer's incarnation has sent. A message costs what it brings, not what is held.
type heldTotals struct {
	instance wire.InstanceName
	sequence int
	figures  map[cell]wire.UsageFigure
}

// NewHeld returns an empty store.
func NewHeld() *Held {
	return &Held{totals: map[wire.IncarnationId]*heldTotals{}}
}

// Take merges a peer's totals and tells whether they are held now.
func (h *Held) Take(from wire.InstanceName, totals wire.UsageTotals) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	held, known := h.totals[totals.Incarnation]
	if !known && len(h.totals) >= maxHeld {
		return false
	}
	if !known {
		held = &heldTotals{figures: map[cell]wire.UsageFigure{}}
		h.totals[totals.Incarnation] = held
	}
	held.instance = from
	held.take(totals)
	return true
}

// take keeps the larger figure of each counter, as Merge does.
func (t *heldTotals) take(totals wire.UsageTotals) {
	t.sequence = max(t.sequence, totals.Sequence)
	for _, f := range totals.Figures {
		takeLarger(t.figures, f)
	}
}

// list returns what is held as one message.
func (t *heldTotals) list(incarnation wire.IncarnationId) wire.UsageTotals {
	return wire.UsageTotals{Incarnation: incarnation, Sequence: t.sequence, Figures: sorted(t.figures)}
}

// Stored drops totals that the table has, unless newer ones came since.
func (h *Held) Stored(incarnation wire.IncarnationId, sequence int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if held, known := h.totals[incarnation]; known && held.sequence <= sequence {
		delete(h.totals, incarnation)
	}
}

// Of returns what is held for an instance's incarnations.
func (h *Held) Of(instance wire.InstanceName) []wire.UsageTotals {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []wire.UsageTotals
	for incarnation, held := range h.totals {
		if held.instance == instance {
			list = append(list, held.list(incarnation))
		}
	}
	return list
}

// Instances returns the instances for which something is held.
func (h *Held) Instances() []wire.InstanceName {
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := map[wire.InstanceName]bool{}
	var names []wire.InstanceName
	for _, held := range h.totals {
		if !seen[held.instance] {
			seen[held.instance] = true
			names = append(names, held.instance)
		}
	}
	return names
}

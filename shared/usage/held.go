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
	totals map[wire.IncarnationId]HeldTotals
}

// HeldTotals is what one peer's incarnation has sent.
type HeldTotals struct {
	Instance wire.InstanceName
	Totals   wire.UsageTotals
}

// NewHeld returns an empty store.
func NewHeld() *Held {
	return &Held{totals: map[wire.IncarnationId]HeldTotals{}}
}

// Take merges a peer's totals and tells whether they are held now.
func (h *Held) Take(from wire.InstanceName, totals wire.UsageTotals) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	old, known := h.totals[totals.Incarnation]
	if !known && len(h.totals) >= maxHeld {
		return false
	}
	h.totals[totals.Incarnation] = HeldTotals{Instance: from, Totals: Merge(old.Totals, totals)}
	return true
}

// Stored drops totals that the table has, unless newer ones came since.
func (h *Held) Stored(incarnation wire.IncarnationId, sequence int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.totals[incarnation].Totals.Sequence <= sequence {
		delete(h.totals, incarnation)
	}
}

// Of returns what is held for an instance's incarnations.
func (h *Held) Of(instance wire.InstanceName) []wire.UsageTotals {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []wire.UsageTotals
	for _, held := range h.totals {
		if held.Instance == instance {
			list = append(list, held.Totals)
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
		if !seen[held.Instance] {
			seen[held.Instance] = true
			names = append(names, held.Instance)
		}
	}
	return names
}

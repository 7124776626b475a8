package usage

import (
	"sync"

	"cowslipshunt.example/wire"
)

// maxHeldIncarnations limits the number of peers' incarnations whose totals an entry holds. At the limit, totals of a new
// incarnation are not confirmed, so their owner sends them to another peer.
const maxHeldIncarnations = 1024

// PeerTotals stores copies of peers' cumulative totals until the table has them. It is safe for concurrent use.
type PeerTotals struct {
	mu     sync.Mutex
	totals map[wire.IncarnationId]*incarnationTotals
}

// incarnationTotals merges all totals received from one incarnation of a peer. The map of counters makes the cost of a
// message proportional to the figures in the message, not to the figures held.
type incarnationTotals struct {
	instance wire.InstanceName
	sequence int
	figures  map[counterKey]wire.UsageFigure
}

// NewPeerTotals returns an empty store.
func NewPeerTotals() *PeerTotals {
	return &PeerTotals{totals: map[wire.IncarnationId]*incarnationTotals{}}
}

// Merge merges totals received from a peer into the stored ones. It reports whether they are held now; false means that the
// limit on incarnations is reached.
func (h *PeerTotals) Merge(from wire.InstanceName, totals wire.UsageTotals) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	held, ok := h.totals[totals.Incarnation]
	if !ok && len(h.totals) >= maxHeldIncarnations {
		return false
	}
	if !ok {
		held = &incarnationTotals{figures: map[counterKey]wire.UsageFigure{}}
		h.totals[totals.Incarnation] = held
	}
	held.instance = from
	held.merge(totals)
	return true
}

// merge keeps the larger value of each counter, as Merge does.
func (t *incarnationTotals) merge(totals wire.UsageTotals) {
	t.sequence = max(t.sequence, totals.Sequence)
	for _, f := range totals.Figures {
		mergeFigure(t.figures, f)
	}
}

// message returns the held figures in the form in which the owner sends them.
func (t *incarnationTotals) message(incarnation wire.IncarnationId) wire.UsageTotals {
	return wire.UsageTotals{Incarnation: incarnation, Sequence: t.sequence, Figures: sortedFigures(t.figures)}
}

// DropStored drops an incarnation's totals once the table has them up to sequence. Newer totals are kept.
func (h *PeerTotals) DropStored(incarnation wire.IncarnationId, sequence int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if held, ok := h.totals[incarnation]; ok && held.sequence <= sequence {
		delete(h.totals, incarnation)
	}
}

// ForInstance returns the totals held for an instance, one element for each of its incarnations.
func (h *PeerTotals) ForInstance(instance wire.InstanceName) []wire.UsageTotals {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []wire.UsageTotals
	for incarnation, held := range h.totals {
		if held.instance == instance {
			list = append(list, held.message(incarnation))
		}
	}
	return list
}

// Instances returns the instances whose totals are held, without duplicates.
func (h *PeerTotals) Instances() []wire.InstanceName {
	h.mu.Lock()
	defer h.mu.Unlock()
	added := map[wire.InstanceName]bool{}
	var names []wire.InstanceName
	for _, held := range h.totals {
		if !added[held.instance] {
			added[held.instance] = true
			names = append(names, held.instance)
		}
	}
	return names
}

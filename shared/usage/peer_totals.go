package usage

import (
	"sync"

	"cowslipshunt.example/wire"
)

// maxPeerIncarnations limits the number of peers' incarnations whose totals an entry stores. At the limit, totals of a new
// incarnation are not confirmed, so their owner sends them to another peer.
const maxPeerIncarnations = 1024

// PeerTotals stores copies of peers' cumulative totals until the table has them. It is safe for concurrent use.
type PeerTotals struct {
	mu     sync.Mutex
	totals map[wire.IncarnationId]*incarnationTotals
}

// incarnationTotals merges all totals received from one incarnation of a peer. The map of counters makes the cost of a
// message proportional to the figures in the message, not to the figures stored.
type incarnationTotals struct {
	instance wire.InstanceName
	sequence int
	figures  map[counterKey]wire.UsageFigure
}

// NewPeerTotals returns an empty store.
func NewPeerTotals() *PeerTotals {
	return &PeerTotals{totals: map[wire.IncarnationId]*incarnationTotals{}}
}

// Merge merges totals received from a peer into the stored ones. It reports whether they are stored now; false means that
// the limit on incarnations is reached.
func (p *PeerTotals) Merge(from wire.InstanceName, totals wire.UsageTotals) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	stored, ok := p.totals[totals.Incarnation]
	if !ok && len(p.totals) >= maxPeerIncarnations {
		return false
	}
	if !ok {
		stored = &incarnationTotals{figures: map[counterKey]wire.UsageFigure{}}
		p.totals[totals.Incarnation] = stored
	}
	stored.instance = from
	stored.merge(totals)
	return true
}

// merge keeps the larger value of each counter, as the function Merge does.
func (t *incarnationTotals) merge(totals wire.UsageTotals) {
	t.sequence = max(t.sequence, totals.Sequence)
	for _, f := range totals.Figures {
		mergeFigure(t.figures, f)
	}
}

// message returns the stored figures in the form in which the owner sends them.
func (t *incarnationTotals) message(incarnation wire.IncarnationId) wire.UsageTotals {
	return wire.UsageTotals{Incarnation: incarnation, Sequence: t.sequence, Figures: sortedFigures(t.figures)}
}

// DropStored drops an incarnation's totals once the table has them up to sequence. Newer totals are kept.
func (p *PeerTotals) DropStored(incarnation wire.IncarnationId, sequence int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if stored, ok := p.totals[incarnation]; ok && stored.sequence <= sequence {
		delete(p.totals, incarnation)
	}
}

// ForInstance returns the totals stored for an instance, one element for each of its incarnations.
func (p *PeerTotals) ForInstance(instance wire.InstanceName) []wire.UsageTotals {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []wire.UsageTotals
	for incarnation, stored := range p.totals {
		if stored.instance == instance {
			list = append(list, stored.message(incarnation))
		}
	}
	return list
}

// Instances returns the instances whose totals are stored, without duplicates.
func (p *PeerTotals) Instances() []wire.InstanceName {
	p.mu.Lock()
	defer p.mu.Unlock()
	added := map[wire.InstanceName]bool{}
	var names []wire.InstanceName
	for _, stored := range p.totals {
		if !added[stored.instance] {
			added[stored.instance] = true
			names = append(names, stored.instance)
		}
	}
	return names
}

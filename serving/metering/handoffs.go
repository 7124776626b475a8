package metering

import (
	"context"
	"sync"
	"time"

	"cowslipshunt.example/wire"
)

// Handoffs are the hand-offs that an instance keeps for its peers. They are safe for concurrent use.
type Handoffs struct {
	// self is the instance's own incarnation. Hand-offs of it, which a stopping peer may send back, are ignored.
	self wire.IncarnationId
	// mayRestore reports whether the store may be restored to an older state.
	mayRestore func() bool

	mu   sync.Mutex
	held map[string]*heldHandoff
	// withdrawn are hand-offs whose counts are in the store, for the case that it loses them.
	withdrawn map[string]*heldHandoff
}

// heldHandoff is a hand-off and the agreed time at which it was received.
type heldHandoff struct {
	Handoff
	received time.Time
	// orphaned is set once the owner's instance runs another incarnation.
	orphaned bool
}

// HandoffsOption configures Handoffs.
type HandoffsOption func(*Handoffs)

// WithWithdrawn makes Handoffs keep those that were withdrawn lately while mayRestore reports that the store may lose their counts.
func WithWithdrawn(mayRestore func() bool) HandoffsOption {
	return func(h *Handoffs) {
		h.mayRestore = mayRestore
	}
}

// NewHandoffs returns an empty collection for an incarnation of an instance.
func NewHandoffs(self wire.IncarnationId, opts ...HandoffsOption) *Handoffs {
	h := &Handoffs{self: self, mayRestore: func() bool { return false }, held: map[string]*heldHandoff{}, withdrawn: map[string]*heldHandoff{}}
	for _, o := range opts {
		o(h)
	}
	return h
}

// Keep stores a hand-off in place of an older one of the same counts, or removes the one that it withdraws. It does nothing if a
// newer one is stored, or if a time cannot be written. The time now is the agreed time, as in Write.
func (h *Handoffs) Keep(x Handoff, now time.Time) {
	if x.Incarnation == h.self || !isEncodable(x.Made) || !isEncodable(x.Changed) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	key := x.key()
	if previous, ok := h.held[key]; ok && previous.Made > x.Made {
		return
	}
	if len(x.Counts) == 0 {
		h.noteWithdrawn(key, now)
		delete(h.held, key)
		return
	}
	h.held[key] = &heldHandoff{Handoff: x, received: now}
}

// SetIncarnation records that an instance runs an incarnation. Hand-offs of its other incarnations are written at once.
func (h *Handoffs) SetIncarnation(instance wire.InstanceName, incarnation wire.IncarnationId) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, x := range h.held {
		if x.Instance == instance && x.Incarnation != incarnation {
			x.orphaned = true
		}
	}
}

// All returns all hand-offs, which a stopping instance sends to other peers.
func (h *Handoffs) All() []Handoff {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]Handoff, 0, len(h.held))
	for _, x := range h.held {
		list = append(list, x.Handoff)
	}
	return list
}

// Write stores the hand-offs whose owners cannot write them, and returns those that it stored. It must be called before the
// instance writes its own counts, because a window counts as complete once every instance has written counts of the next one.
func (h *Handoffs) Write(ctx context.Context, t Table, now time.Time) ([]Handoff, error) {
	var written []Handoff
	for _, x := range h.orphaned(now) {
		stored, err := x.write(ctx, t)
		if err != nil {
			return written, err
		}
		if stored {
			written = append(written, x.Handoff)
		}
		h.remove(x)
	}
	return written, nil
}

// orphaned returns the hand-offs whose owners have stopped or timed out, and removes those past their lifetime.
func (h *Handoffs) orphaned(now time.Time) []*heldHandoff {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []*heldHandoff
	for key, x := range h.held {
		age := now.Sub(x.received)
		switch {
		case age > handoffLifetime:
			delete(h.held, key)
		case x.Final || x.Failed || x.orphaned || age > ownerTimeout:
			list = append(list, x)
		}
	}
	return list
}

// remove removes a hand-off unless a newer one has replaced it.
func (h *Handoffs) remove(x *heldHandoff) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if key := x.key(); h.held[key] == x {
		delete(h.held, key)
	}
}

package metering

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"sync"
	"time"

	"cowslipshunt.example/wire"
)

// ownerTimeout is how long after the last copy of a hand-off its owner counts as unable to write it: a running owner repeats
// or withdraws its hand-offs every few seconds.
const ownerTimeout = 5 * time.Second

// handoffLifetime is how long a hand-off that cannot be written is kept. Its window has been reported by then.
const handoffLifetime = 30 * time.Second

// Handoff is a copy of counts that their owner could not write, for a peer to write if the owner does not. The counts of one
// incarnation in a window only rise, so writing a copy twice or late does no harm.
type Handoff struct {
	_           struct{} `cbor:",toarray"`
	Instance    wire.InstanceName
	Incarnation wire.IncarnationId
	Window      Window
	// Counts are all counts of the incarnation in the window. If empty, the hand-off is withdrawn: the counts are in the store.
	Counts Counts
	// Revision is the last revision that the owner received for the row of these counts, 0 if it received none.
	Revision wire.Revision
	// Made is the agreed time at which the copy was made, in Unix milliseconds.
	Made int64
	// Final is set if the owner is stopping and will not write the counts.
	Final bool
}

func (h *Handoff) key() string {
	return countKey(h.Window, h.Instance, h.Incarnation)
}

// withdrawn returns the message that withdraws the hand-off, as the counts are in the store.
func (h *Handoff) withdrawn() Handoff {
	return Handoff{Instance: h.Instance, Incarnation: h.Incarnation, Window: h.Window, Made: h.Made}
}

// HandOff returns hand-offs of all windows whose counts are not written. They are marked as final if the instance is stopping.
func (c *Counter) HandOff(instance wire.InstanceName, incarnation wire.IncarnationId, final bool) []Handoff {
	c.mu.Lock()
	defer c.mu.Unlock()
	made := c.now().UnixMilli()
	var list []Handoff
	for w := range c.dirty {
		list = append(list, Handoff{
			Instance:    instance,
			Incarnation: incarnation,
			Window:      w,
			Counts:      maps.Clone(c.windows[w]),
			Revision:    c.revisions[w],
			Made:        made,
			Final:       final,
		})
		c.handedOff[w] = true
	}
	return list
}

// Withdraw returns the messages that withdraw the hand-offs of windows that have been written since.
func (c *Counter) Withdraw(instance wire.InstanceName, incarnation wire.IncarnationId) []Handoff {
	c.mu.Lock()
	defer c.mu.Unlock()
	made := c.now().UnixMilli()
	var list []Handoff
	for w := range c.handedOff {
		if !c.dirty[w] {
			list = append(list, Handoff{Instance: instance, Incarnation: incarnation, Window: w, Made: made})
			delete(c.handedOff, w)
		}
	}
	return list
}

// Handoffs are the hand-offs that an instance keeps for its peers. They are safe for concurrent use.
type Handoffs struct {
	// self is the instance's own incarnation. Hand-offs of it, which a stopping peer may send back, are ignored.
	self wire.IncarnationId

	mu   sync.Mutex
	held map[string]*heldHandoff
}

// heldHandoff is a hand-off and the agreed time at which it was received.
type heldHandoff struct {
	Handoff
	received time.Time
}

// NewHandoffs returns an empty collection for an incarnation of an instance.
func NewHandoffs(self wire.IncarnationId) *Handoffs {
	return &Handoffs{self: self, held: map[string]*heldHandoff{}}
}

// Keep stores a hand-off in place of an older one of the same counts, or removes the one that it withdraws. It does nothing if a
// newer one is stored. The time now is the agreed time, as in Write.
func (h *Handoffs) Keep(x Handoff, now time.Time) {
	if x.Incarnation == h.self {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	key := x.key()
	if previous, ok := h.held[key]; ok && previous.Made > x.Made {
		return
	}
	if len(x.Counts) == 0 {
		delete(h.held, key)
		return
	}
	h.held[key] = &heldHandoff{Handoff: x, received: now}
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
		case x.Final || age > ownerTimeout:
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

// write stores the counts and reports whether it did. It does not if the stored row covers them, or if the row was
// removed because its window has been reported.
func (h *Handoff) write(ctx context.Context, t Table) (bool, error) {
	counts, revision := h.Counts, h.Revision
	for range writeAttempts {
		value, err := json.Marshal(countRow{Counts: counts, Written: time.UnixMilli(h.Made).UTC()})
		if err != nil {
			return false, err
		}
		answer, err := t.Transact(ctx, wire.TransactRequest{
			Checks: []wire.Check{{Table: CountTable, Key: h.key(), Revision: revision}},
			Writes: []wire.Write{{Table: CountTable, Key: h.key(), Value: value}},
		})
		if err != nil || answer.Committed {
			return err == nil, err
		}
		if len(answer.Conflicts) == 0 || answer.Conflicts[0].Revision == 0 {
			return false, nil
		}
		_, _, row, err := decodeCounts(answer.Conflicts[0])
		if err != nil {
			return false, err
		}
		if row.Counts.covers(h.Counts) {
			return false, nil
		}
		counts, revision = row.Counts.merge(h.Counts), answer.Conflicts[0].Revision
	}
	return false, fmt.Errorf("write handed-off usage counts %s: the row still conflicts after %d attempts", h.key(), writeAttempts)
}

// covers reports whether no workspace has a lower count in c than in others.
func (c Counts) covers(others Counts) bool {
	for workspace, n := range others {
		if c[workspace] < n {
			return false
		}
	}
	return true
}

// merge returns the higher one of the two counts of each workspace.
func (c Counts) merge(others Counts) Counts {
	m := Counts{}
	m.Add(c)
	for workspace, n := range others {
		m[workspace] = max(m[workspace], n)
	}
	return m
}

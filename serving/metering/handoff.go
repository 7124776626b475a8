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

// ownerSilence is how long after the last copy of a hand-off its owner counts as unable to write it: an owner that runs repeats
// or withdraws its hand-offs every few seconds.
const ownerSilence = 5 * time.Second

// handoffLife is how long a hand-off is kept that could not be written. Its window is reported by then.
const handoffLife = 30 * time.Second

// Handoff is a copy of counts that their owner could not write, for a peer to write if the owner does not. The counts of one
// incarnation in a window only rise, so a copy that is written twice or late changes nothing.
type Handoff struct {
	_           struct{} `cbor:",toarray"`
	Instance    wire.InstanceName
	Incarnation wire.IncarnationId
	Window      Window
	// Counts are all of the incarnation's in the window. None withdraw the hand-off: they are in the store.
	Counts Counts
	// Revision is that of the row with the counts, as far as the owner knows.
	Revision wire.Revision
	// Made is the agreed time of the copy, in Unix milliseconds.
	Made int64
	// Final tells that the owner writes no more.
	Final bool
}

func (h *Handoff) key() string {
	return countKey(h.Window, h.Instance, h.Incarnation)
}

// withdrawn tells the peers that the counts are in the store.
func (h *Handoff) withdrawn() Handoff {
	return Handoff{Instance: h.Instance, Incarnation: h.Incarnation, Window: h.Window, Made: h.Made}
}

// HandOff returns copies of the counts that are not written. An instance that stops makes them final.
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

// Withdraw withdraws the copies of windows that are written by now.
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

// Handoffs are the copies of peers' counts that an instance keeps. They are safe for concurrent use.
type Handoffs struct {
	// self is the instance's own incarnation, whose counts a peer may pass back.
	self wire.IncarnationId

	mu   sync.Mutex
	held map[string]*heldHandoff
}

// heldHandoff is a hand-off and the agreed time at which it came.
type heldHandoff struct {
	Handoff
	taken time.Time
}

// NewHandoffs returns no hand-offs, for an incarnation of an instance.
func NewHandoffs(self wire.IncarnationId) *Handoffs {
	return &Handoffs{self: self, held: map[string]*heldHandoff{}}
}

// Take keeps a hand-off instead of an older one of the same counts, or drops what it withdraws; now is the agreed time, as in Write.
func (h *Handoffs) Take(x Handoff, now time.Time) {
	if x.Incarnation == h.self {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	key := x.key()
	if known, ok := h.held[key]; ok && known.Made > x.Made {
		return
	}
	if len(x.Counts) == 0 {
		delete(h.held, key)
		return
	}
	h.held[key] = &heldHandoff{Handoff: x, taken: now}
}

// All returns every hand-off that is kept, for an instance that stops and passes them on.
func (h *Handoffs) All() []Handoff {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]Handoff, 0, len(h.held))
	for _, x := range h.held {
		list = append(list, x.Handoff)
	}
	return list
}

// Write puts the counts of owners that cannot write them into the store, and returns those that it put there. It has to come
// before an instance's own counts: a window counts as complete once every instance has written of the next.
func (h *Handoffs) Write(ctx context.Context, t Table, now time.Time) ([]Handoff, error) {
	var written []Handoff
	for _, x := range h.orphaned(now) {
		put, err := x.write(ctx, t)
		if err != nil {
			return written, err
		}
		if put {
			written = append(written, x.Handoff)
		}
		h.drop(x)
	}
	return written, nil
}

// orphaned returns the hand-offs whose owners do not write them, and forgets those that are too old.
func (h *Handoffs) orphaned(now time.Time) []*heldHandoff {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []*heldHandoff
	for key, x := range h.held {
		age := now.Sub(x.taken)
		switch {
		case age > handoffLife:
			delete(h.held, key)
		case x.Final || age > ownerSilence:
			list = append(list, x)
		}
	}
	return list
}

// drop forgets a hand-off unless a newer one has taken its place.
func (h *Handoffs) drop(x *heldHandoff) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if key := x.key(); h.held[key] == x {
		delete(h.held, key)
	}
}

// write puts the counts into the store, unless the row there has them or was removed after its window was reported.
func (h *Handoff) write(ctx context.Context, t Table) (bool, error) {
	counts, revision := h.Counts, h.Revision
	for range writeTries {
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
		if row.Counts.cover(h.Counts) {
			return false, nil
		}
		counts, revision = row.Counts.most(h.Counts), answer.Conflicts[0].Revision
	}
	return false, fmt.Errorf("the row of counts %s keeps changing", h.key())
}

// cover tells whether the counts are nowhere below others.
func (c Counts) cover(others Counts) bool {
	for workspace, n := range others {
		if c[workspace] < n {
			return false
		}
	}
	return true
}

// most returns the higher count of each workspace.
func (c Counts) most(others Counts) Counts {
	m := Counts{}
	m.Add(c)
	for workspace, n := range others {
		m[workspace] = max(m[workspace], n)
	}
	return m
}

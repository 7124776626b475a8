package metering

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"time"

	"cowslipshunt.example/shared/era"
	"cowslipshunt.example/wire"
)

// CopyInterval is the interval at which an instance repeats the hand-offs of its counts to its peers.
const CopyInterval = 500 * time.Millisecond

// ownerTimeout is how long after the last copy of a hand-off its owner counts as unable to write it: a running owner repeats
// or withdraws its hand-offs every CopyInterval.
const ownerTimeout = 3 * CopyInterval

// withdrawals is how often the withdrawal of a hand-off is sent, as a datagram may be lost.
const withdrawals = 3

// handoffLifetime is how long a hand-off that cannot be written is kept. Its window has been reported by then.
const handoffLifetime = 30 * time.Second

// Handoff is a copy of counts that their owner has not written yet, for a peer to write if the owner does not. The counts of one
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
	// Changed is the agreed time of the last change of the counts, in Unix milliseconds.
	Changed int64
	// Final is set if the owner is stopping and will not write the counts.
	Final bool
	// Failed is set if the owner could not write the counts, so that the receiver should do so at once. Of several copies, one has it.
	Failed bool
}

func (h *Handoff) key() string {
	return countKey(h.Window, h.Instance, h.Incarnation)
}

// withdrawn returns the message that withdraws the hand-off, as the counts are in the store.
func (h *Handoff) withdrawn() Handoff {
	return Handoff{Instance: h.Instance, Incarnation: h.Incarnation, Window: h.Window, Made: h.Made}
}

// HandOff returns hand-offs of all windows whose counts are not written.
func (c *Counter) HandOff(instance wire.InstanceName, incarnation wire.IncarnationId) []Handoff {
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
			Changed:     c.changed[w].UnixMilli(),
		})
		c.handedOff[w] = withdrawals
	}
	return list
}

// Withdraw returns the messages that withdraw the hand-offs of windows that have been written since. Each is returned by several
// calls.
func (c *Counter) Withdraw(instance wire.InstanceName, incarnation wire.IncarnationId) []Handoff {
	c.mu.Lock()
	defer c.mu.Unlock()
	made := c.now().UnixMilli()
	var list []Handoff
	for w, left := range c.handedOff {
		if c.dirty[w] {
			continue
		}
		list = append(list, Handoff{Instance: instance, Incarnation: incarnation, Window: w, Made: made})
		if c.handedOff[w] = left - 1; left == 1 {
			delete(c.handedOff, w)
		}
	}
	return list
}

// write stores the counts and reports whether it did. It does not if the stored row covers them, if the row was removed because its
// window has been reported, or if the window was frozen with these counts.
func (h *Handoff) write(ctx context.Context, t Table) (bool, error) {
	counts := h.Counts
	row := wire.Check{Table: CountTable, Key: h.key(), Revision: h.Revision}
	notFrozen := wire.Check{Table: WindowTable, Key: windowKey(h.Window)}
	checks := []wire.Check{row, notFrozen}
	restored := false
	for range handoffWriteAttempts {
		value, err := json.Marshal(countRow{Counts: counts, Written: h.written(restored), Ended: h.Final})
		if err != nil {
			return false, err
		}
		answer, err := t.Transact(ctx, wire.TransactRequest{
			Checks: checks,
			Writes: []wire.Write{{Table: CountTable, Key: h.key(), Value: value}},
		})
		if err != nil || answer.Committed {
			return err == nil, err
		}
		for _, conflict := range answer.Conflicts {
			if conflict.Table == WindowTable {
				if included, err := h.includedIn(conflict); err != nil || included {
					return false, err
				}
				// The counts are too late for their window. The reporter finds and logs them.
				checks = checks[:1]
				continue
			}
			if conflict.Revision == 0 {
				if era.Of(int(h.Revision)) >= era.Of(int(answer.Revision)) {
					return false, nil
				}
				// The store was restored to a state without the row.
				checks[0].Revision, restored = 0, true
				continue
			}
			_, _, stored, err := decodeCounts(conflict)
			if err != nil {
				return false, err
			}
			if stored.Counts.covers(h.Counts) {
				return false, nil
			}
			counts, checks[0].Revision = stored.Counts.merge(h.Counts), conflict.Revision
		}
	}
	return false, fmt.Errorf("write handed-off usage counts %s: the row still conflicts after %d attempts", h.key(), handoffWriteAttempts)
}

// written returns the time that the write of a hand-off states. Counts that the store has lost may be in a frozen window, so theirs is not
// later than the write by the owner was.
func (h *Handoff) written(restored bool) time.Time {
	if restored {
		return time.UnixMilli(h.Changed).UTC()
	}
	return time.UnixMilli(h.Made).UTC()
}

// handoffWriteAttempts is how often the write of a hand-off is attempted: a conflict with each of the two rows that it checks, and one
// with a write at the same time.
const handoffWriteAttempts = 4

// includedIn reports whether a frozen window includes the counts, or those that the owner wrote later.
func (h *Handoff) includedIn(row wire.Row) (bool, error) {
	var w windowRow
	if err := json.Unmarshal(row.Value, &w); err != nil {
		return false, fmt.Errorf("decode usage window %s: %w", row.Key, err)
	}
	written, included := w.Sources[string(h.Instance)+"/"+string(h.Incarnation)]
	return included && written.UnixMilli() >= h.Changed, nil
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

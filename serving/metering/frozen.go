package metering

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"cowslipshunt.example/shared/era"
	"cowslipshunt.example/wire"
)

const (
	// frozenLifetime is how long a copy of a frozen window is kept: longer than its report may take and than a backup is old.
	frozenLifetime = time.Minute
	// maxFrozen bounds the copies that are kept.
	maxFrozen = 64
)

// frozenWindow is the row of a frozen window and its revision.
type frozenWindow struct {
	row      windowRow
	revision wire.Revision
	// shared is set once copies were sent to the peers.
	shared bool
}

// Frozen is a copy of a frozen window for peers, which write it again if the store is restored to a state without it.
type Frozen struct {
	_      struct{} `cbor:",toarray"`
	Window Window
	Counts Counts
	Epoch  wire.Epoch
	// Sources are the rows that were added up, with the agreed time of their last write in Unix milliseconds, rounded up.
	Sources map[string]int64
	Ended   []string
	// Reported is set if the platform has accepted the report.
	Reported bool
}

// copyOf returns the copy of a window's row.
func copyOf(row *windowRow) Frozen {
	f := Frozen{Window: row.Window, Counts: maps.Clone(row.Counts), Epoch: row.Epoch, Sources: make(map[string]int64, len(row.Sources)),
		Ended: slices.Clone(row.Ended), Reported: row.Reported}
	for source, at := range row.Sources {
		f.Sources[source] = at.Add(time.Millisecond - 1).UnixMilli()
	}
	return f
}

// isEncodable reports whether JSON can encode a time in Unix milliseconds: one of the years 0 to 9999.
func isEncodable(at int64) bool {
	year := time.UnixMilli(at).UTC().Year()
	return year >= 0 && year <= 9999
}

// valid reports whether a lease holder may have sent the copy. A row with other times cannot be encoded.
func (f *Frozen) valid() bool {
	for _, at := range f.Sources {
		if !isEncodable(at) {
			return false
		}
	}
	return f.Window >= 0 && f.Counts.valid() == nil
}

// row returns the window's row.
func (f *Frozen) row() windowRow {
	w := windowRow{Window: f.Window, Counts: f.Counts, Epoch: f.Epoch, Sources: make(map[string]time.Time, len(f.Sources)), Ended: f.Ended, Reported: f.Reported}
	for source, at := range f.Sources {
		w.Sources[source] = time.UnixMilli(at).UTC()
	}
	return w
}

// FrozenCopies are the copies of frozen windows that an instance keeps. They are safe for concurrent use.
type FrozenCopies struct {
	mu   sync.Mutex
	held map[Window]heldFrozen
}

// heldFrozen is a copy, the agreed time at which it was received, and the highest era in which the store is known to have the window.
type heldFrozen struct {
	Frozen
	received time.Time
	stored   era.Era
}

// NewFrozenCopies returns an empty collection.
func NewFrozenCopies() *FrozenCopies {
	return &FrozenCopies{held: map[Window]heldFrozen{}}
}

// Keep keeps a copy of a window that the store has in an era, and reports whether it does. Of two copies of a window, one that was reported
// is kept, and otherwise the one with the higher epoch. A malformed copy is ignored.
func (c *FrozenCopies) Keep(f Frozen, stored era.Era, now time.Time) bool {
	if !f.valid() || stored < 0 || stored > era.Max {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for w, x := range c.held {
		if now.Sub(x.received) > frozenLifetime {
			delete(c.held, w)
		}
	}
	previous, known := c.held[f.Window]
	if known && (previous.Reported && !f.Reported || previous.Reported == f.Reported && previous.Epoch > f.Epoch) || !known && len(c.held) >= maxFrozen {
		return false
	}
	if known && previous.Epoch == f.Epoch {
		stored = max(stored, previous.stored)
	}
	c.held[f.Window] = heldFrozen{Frozen: f, received: now, stored: stored}
	return true
}

// StoredCopy is a copy of a frozen window and the highest era in which the store is known to have the window.
type StoredCopy struct {
	Frozen
	Stored era.Era
}

// All returns the copies, by window, for an instance that has none.
func (c *FrozenCopies) All(now time.Time) []StoredCopy {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]StoredCopy, 0, len(c.held))
	for _, w := range slices.Sorted(maps.Keys(c.held)) {
		if x := c.held[w]; now.Sub(x.received) <= frozenLifetime {
			list = append(list, StoredCopy{Frozen: x.Frozen, Stored: x.stored})
		}
	}
	return list
}

// Restore writes the windows that the store may have lost by the restore to an era, unless it has them. It returns those that it wrote.
// The writes are not fenced: while the store has not lost a frozen window, its counts never change, whoever writes them.
func (c *FrozenCopies) Restore(ctx context.Context, t Table, e era.Era, now time.Time) ([]Window, error) {
	var written []Window
	for _, f := range c.lost(e, now) {
		value, err := json.Marshal(f.row())
		if err != nil {
			return written, err
		}
		key := windowKey(f.Window)
		answer, err := t.Transact(ctx, wire.TransactRequest{
			Checks: []wire.Check{{Table: WindowTable, Key: key}},
			Writes: []wire.Write{{Table: WindowTable, Key: key, Value: value}},
		})
		if err != nil {
			return written, err
		}
		if answer.Committed {
			written = append(written, f.Window)
		}
		stored := era.Of(int(answer.Revision))
		c.markStored(f.Window, stored)
		for _, conflict := range answer.Conflicts {
			c.adopt(f, conflict, stored, now)
		}
	}
	return written, nil
}

// adopt replaces a copy by the stored row if that has other counts: the window was frozen anew in an era in which nobody had reported it.
func (c *FrozenCopies) adopt(f Frozen, row wire.Row, stored era.Era, now time.Time) {
	var w windowRow
	if err := json.Unmarshal(row.Value, &w); err != nil || w.Window != f.Window || maps.Equal(w.Counts, f.Counts) {
		return
	}
	x := copyOf(&w)
	if !x.valid() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held[f.Window] = heldFrozen{Frozen: x, received: now, stored: stored}
}

// lost returns the copies of windows that the store may have lost by the restore to era e, by window. A copy of an earlier era than the one
// before is of use only if it was reported: the window may have been frozen with other counts in an era of which this instance did not learn.
func (c *FrozenCopies) lost(e era.Era, now time.Time) []Frozen {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []Frozen
	for _, w := range slices.Sorted(maps.Keys(c.held)) {
		if x := c.held[w]; x.stored < e && (x.Reported || x.stored == e-1) && now.Sub(x.received) <= frozenLifetime {
			list = append(list, x.Frozen)
		}
	}
	return list
}

func (c *FrozenCopies) markStored(w Window, e era.Era) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if x, known := c.held[w]; known {
		x.stored = max(x.stored, e)
		c.held[w] = x
	}
}

package metering

import (
	"context"
	"maps"
	"time"

	"cowslipshunt.example/shared/era"
	"cowslipshunt.example/wire"
)

// restoreSettle is how long after a new era is known no window is frozen: until then each instance has learned of the era, written its
// counts again, and written the frozen windows of which it has copies. It leaves time for a report that is due 10 s after its window.
const restoreSettle = 5 * time.Second

// Restores are what a Reporter needs if the store may be restored from a backup.
type Restores struct {
	// Era returns the era of the store's last answer.
	Era func() era.Era
	// MayRestore reports whether the store may be restored to an older state. Otherwise no copies are kept or sent.
	MayRestore func() bool
	// Copies are the copies of frozen windows that this instance keeps.
	Copies *FrozenCopies
	// Share sends a copy to the peers, with the era in which the store has the window. That may have passed meanwhile.
	Share func(f Frozen, stored era.Era)
	// Evidence is what is known of reports that the store has lost. Without it, only windows that end after a restore are frozen.
	Evidence Evidence
}

// Evidence is what instances know of windows that nobody has reported, and by which the holder keeps them informed.
type Evidence interface {
	// ObserveEra notes the era of the store. It is called often, also while the lease is not held.
	ObserveEra(e era.Era)
	// FirstUnreported returns the first window that, like all later ones, nobody reported before an era, and whether it is known.
	FirstUnreported(e era.Era) (Window, bool)
	// Loaded notes the first window that nobody has reported, as read from the store under the lease.
	Loaded(first Window)
	// Pledge tells the peers that no window from next on has been reported or will be before they have a copy.
	Pledge(next Window)
	// MayReport reports whether the peers that rely on a pledge know that a window may be reported.
	MayReport(w Window) bool
	// Distribute sends a copy of a window, which the store has in an era, to those peers that have not acknowledged one.
	Distribute(f Frozen, stored era.Era)
	// Reporting notes that a window is going to be reported.
	Reporting(w Window)
}

// noEvidence is the Evidence of an instance that knows and tells nothing.
type noEvidence struct{}

// ObserveEra does nothing.
func (noEvidence) ObserveEra(era.Era) {}

// FirstUnreported knows no window.
func (noEvidence) FirstUnreported(era.Era) (Window, bool) { return 0, false }

// Loaded does nothing.
func (noEvidence) Loaded(Window) {}

// Pledge does nothing.
func (noEvidence) Pledge(Window) {}

// MayReport returns true.
func (noEvidence) MayReport(Window) bool { return true }

// Distribute does nothing.
func (noEvidence) Distribute(Frozen, era.Era) {}

// Reporting does nothing.
func (noEvidence) Reporting(Window) {}

// WithRestores makes a Reporter keep its windows fixed although the store is restored.
func WithRestores(x Restores) Option {
	return func(r *Reporter) {
		r.restores = x
		if x.Evidence == nil {
			r.restores.Evidence = noEvidence{}
		}
	}
}

// noRestores are those of a store that is never restored.
func noRestores() Restores {
	return Restores{Era: func() era.Era { return 0 }, MayRestore: func() bool { return false }, Copies: NewFrozenCopies(), Share: func(Frozen, era.Era) {}, Evidence: noEvidence{}}
}

// ObserveEra notes the era of the store. It is to be called also while the lease is not held, by the goroutine that calls Step.
func (r *Reporter) ObserveEra() {
	e := r.restores.Era()
	if e != r.era {
		r.era, r.eraSince, r.loaded = e, r.counter.now(), false
	}
	if e > 0 {
		r.restores.Evidence.ObserveEra(e)
	}
}

// isSettled reports whether all instances have had time to write again what the store lost by its last restore.
func (r *Reporter) isSettled(now time.Time) bool {
	return r.era == 0 || now.Sub(r.eraSince) >= restoreSettle
}

// share keeps a copy of a frozen window, and sends it to the peers, if the store may be restored.
func (r *Reporter) share(f *frozenWindow) {
	if !r.restores.MayRestore() {
		return
	}
	x, stored := copyOf(&f.row), era.Of(int(f.revision))
	r.restores.Copies.Keep(x, stored, r.counter.now())
	r.restores.Share(x, stored)
}

// storedCounts are counts that the store has, and the agreed time of their write.
type storedCounts struct {
	counts  Counts
	written time.Time
}

// noteStored records the write of counts at an agreed time.
func (c *Counter) noteStored(written map[Window]Counts, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for w, counts := range written {
		if before, known := c.stored[w]; !known || !maps.Equal(before.counts, counts) {
			c.stored[w] = storedCounts{counts: counts, written: at}
		}
	}
}

// writeTime returns the time that a write of counts states. Counts that are written again unchanged keep theirs, as their window may have
// been frozen with them.
func (c *Counter) writeTime(w Window, counts Counts, now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, known := c.stored[w]; known && maps.Equal(s.counts, counts) && !c.finished {
		return s.written
	}
	return now
}

// markLost makes the counts that were written in an earlier era than e be written again. The peers, which have copies for the case that this
// instance does not do so, are then told again that the counts are in the store.
func (c *Counter) markLost(e era.Era) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for w := range c.stored {
		if c.revisions[w] != 0 && era.Of(int(c.revisions[w])) < e {
			c.dirty[w], c.handedOff[w] = true, withdrawals
		}
	}
}

// WriterOption configures a Writer.
type WriterOption func(*Writer)

// WithEra makes a Writer write again what the store lost by a restore. The function tableEra returns the era of the store's last answer,
// and mayRestore whether its answers have one.
func WithEra(tableEra func() era.Era, mayRestore func() bool, copies *FrozenCopies) WriterOption {
	return func(w *Writer) {
		w.tableEra, w.mayRestore, w.copies = tableEra, mayRestore, copies
	}
}

// observeEra makes everything be written again that the store may have lost, and reports whether there is a new era.
func (w *Writer) observeEra(now time.Time) bool {
	e := w.tableEra()
	if e == w.era {
		return false
	}
	w.era = e
	w.counter.markLost(e)
	w.handoffs.restored(now)
	return true
}

// restore writes the frozen windows again that the store may have lost.
func (w *Writer) restore(ctx context.Context, now time.Time) error {
	if w.era == 0 {
		return nil
	}
	_, err := w.copies.Restore(ctx, w.table, w.era, now)
	return err
}

// restored makes the hand-offs that were withdrawn lately count as received now, so that those are written again whose owners do not do
// so themselves.
func (h *Handoffs) restored(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, x := range h.withdrawn {
		if _, known := h.held[key]; !known && now.Sub(x.received) <= handoffLifetime {
			h.held[key] = &heldHandoff{Handoff: x.Handoff, received: now}
		}
	}
	h.withdrawn = map[string]*heldHandoff{}
}

// copies returns hand-offs of all counts in memory and messages that withdraw those that the store has.
func (c *Counter) copies(instance wire.InstanceName, incarnation wire.IncarnationId) []Handoff {
	c.mu.Lock()
	defer c.mu.Unlock()
	made := c.now().UnixMilli()
	var list []Handoff
	for w, counts := range c.windows {
		if c.dirty[w] {
			continue
		}
		x := Handoff{Instance: instance, Incarnation: incarnation, Window: w, Counts: maps.Clone(counts), Revision: c.revisions[w], Made: made, Changed: c.changed[w].UnixMilli()}
		list = append(list, x, x.withdrawn())
	}
	return list
}

// copies returns the hand-offs that were withdrawn lately, each followed by its withdrawal.
func (h *Handoffs) copies(now time.Time) []Handoff {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []Handoff
	for key, x := range h.withdrawn {
		if _, known := h.held[key]; !known && now.Sub(x.received) <= handoffLifetime {
			list = append(list, x.Handoff, x.withdrawn())
		}
	}
	return list
}

// noteWithdrawn keeps a hand-off that was withdrawn if the store may lose the counts. The caller must hold h.mu.
func (h *Handoffs) noteWithdrawn(key string, now time.Time) {
	for k, x := range h.withdrawn {
		if now.Sub(x.received) > handoffLifetime {
			delete(h.withdrawn, k)
		}
	}
	if x, known := h.held[key]; known && h.mayRestore() {
		h.withdrawn[key] = &heldHandoff{Handoff: x.Handoff, received: now}
	}
}

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

// Fence is the lease under which windows are frozen and reported.
type Fence interface {
	// Transact commits only while this process is the lease's holder in the store.
	Transact(ctx context.Context, r wire.TransactRequest) (wire.TransactAnswer, error)
	// Guard returns the epoch of the lease, and whether the lease is still held for at least margin.
	Guard(margin time.Duration) (wire.Epoch, bool)
}

// Platform receives the reports. A report may have arrived, or still arrive, although ReportUsage returned an error.
type Platform interface {
	// ReportUsage reports the counts of a window under the lease's epoch.
	ReportUsage(ctx context.Context, epoch wire.Epoch, w Window, counts Counts) error
}

// Bounds of reports.
const (
	// reportTimeout bounds one report. The lease must be held for at least as long when the report begins.
	reportTimeout = 700 * time.Millisecond
	// minSettle is the minimum time between the end of a window and its freeze. Instances that write their counts every second, the
	// shortest interval, have written them by then.
	minSettle = 1200 * time.Millisecond
	// keptWindows is how many reported windows are kept in the store for inspection.
	keptWindows = 12
	// maxRemoved bounds the rows that one transaction removes.
	maxRemoved = 60
)

// windowRow is the stored value of a frozen window.
type windowRow struct {
	Window Window
	Counts Counts
	Epoch  wire.Epoch
	// Sources are the rows that were added up: the part of their key after the window, with the agreed time of their last write.
	Sources map[string]time.Time
	// Ended are the sources that count no more requests.
	Ended    []string `json:",omitempty"`
	Reported bool
}

// writers returns the sources of the window that have not ended, with the time of the last write of each.
func (w *windowRow) writers() map[string]time.Time {
	writers := make(map[string]time.Time, len(w.Sources))
	maps.Copy(writers, w.Sources)
	for _, source := range w.Ended {
		delete(writers, source)
	}
	return writers
}

// Reporter freezes windows, which fixes their counts, and reports them to the platform while the lease is held. It is not safe for
// concurrent use.
type Reporter struct {
	table    Table
	fence    Fence
	platform Platform
	counter  *Counter
	bounds   Bounds
	// late is called at least once for counts that were written after their window was frozen. They are not reported, as a window
	// must only ever be reported with one set of counts.
	late func(w Window, counts Counts)
	// malformed is called with each row, at each read of it, that cannot be used.
	malformed func(table, key string, err error)

	restores Restores
	// withheld is called with windows that are not frozen, as they may have been reported before the store was restored.
	withheld func(x Withheld)
	// withheldCounts is called at least once for the counts of such a window.
	withheldCounts func(w Window, counts Counts)
	// era is the era of the store, and eraSince the agreed time at which it became known.
	era      era.Era
	eraSince time.Time

	// epoch is the epoch of the lease under which the fields below were loaded from the store; loaded is false if they must be
	// loaded again.
	epoch  wire.Epoch
	loaded bool
	// next is the next window to freeze, 0 if there are no counts yet.
	next Window
	// frozenInEra is set if one of the stored windows was frozen in the present era.
	frozenInEra bool
	// occupied are the windows whose row cannot be used.
	occupied map[Window]bool
	// unreported are the frozen windows that are not marked as reported, oldest first; kept are the reported ones still stored.
	unreported []frozenWindow
	kept       []Window
	// reported are the sources of the reported windows that are still stored.
	reported map[Window]map[string]time.Time
	// lastWriters are the writers of the last frozen window, nil if not known.
	lastWriters map[string]time.Time
}

// NewReporter returns a Reporter that continues from the windows in the store at the first Step that holds the lease.
func NewReporter(t Table, f Fence, p Platform, c *Counter, b Bounds, opts ...Option) *Reporter {
	r := &Reporter{table: t, fence: f, platform: p, counter: c, bounds: b, late: func(Window, Counts) {}, malformed: func(string, string, error) {}, restores: noRestores(),
		withheld: func(Withheld) {}, withheldCounts: func(Window, Counts) {}}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Step freezes the windows that are complete or ended at least FreezeDelay ago, and reports the frozen ones that are not yet reported.
// It does nothing unless the lease is held.
func (r *Reporter) Step(ctx context.Context) error {
	r.ObserveEra()
	epoch, held := r.fence.Guard(reportTimeout)
	if !held {
		r.loaded = false
		return nil
	}
	if !r.loaded || epoch != r.epoch {
		if err := r.load(ctx); err != nil {
			return err
		}
		r.epoch, r.loaded = epoch, true
	}
	if err := r.freezeSettled(ctx); err != nil {
		r.loaded = false
		return err
	}
	if r.restores.MayRestore() && r.isSettled(r.counter.now()) {
		r.restores.Evidence.Pledge(r.next)
	}
	return r.report(ctx)
}

// freezeSettled freezes, in order, the windows that ended at least minSettle ago and whose counts are complete, and those that
// ended at least FreezeDelay ago.
func (r *Reporter) freezeSettled(ctx context.Context) error {
	now := r.counter.now()
	if !r.isSettled(now) {
		return nil
	}
	last := r.counter.At(now.Add(-minSettle)) - 1
	if r.next == 0 {
		if err := r.findFirst(ctx); err != nil {
			return err
		}
	}
	r.withhold()
	for r.next != 0 && r.next <= last {
		if r.occupied[r.next] {
			// It may have been reported before its row was overwritten, so it must not be frozen again. Its counts are late.
			r.next++
			continue
		}
		sum, err := r.sum(ctx, r.next)
		if err != nil {
			return err
		}
		end := r.counter.End(r.next)
		waitForSuperseded := now.Before(end.Add(supersededDelay))
		if !sum.complete(r.lastWriters, now.Add(-r.bounds.GoneTimeout), waitForSuperseded) && now.Before(end.Add(r.bounds.FreezeDelay)) {
			return nil
		}
		if err := r.freeze(ctx, sum); err != nil {
			return err
		}
		r.lastWriters = sum.row.writers()
		r.next++
	}
	return nil
}

// freeze stores a window's row. Its counts never change afterwards, whichever instance reports it. Late counts of earlier windows
// are passed to late and removed.
func (r *Reporter) freeze(ctx context.Context, s *windowSum) error {
	f := frozenWindow{row: s.row}
	f.row.Epoch = r.epoch
	remove := make([]wire.Write, 0, len(s.repeated)+len(s.late)+len(s.withheld))
	for _, key := range s.repeated {
		remove = append(remove, wire.Write{Table: CountTable, Key: key, Delete: true})
	}
	for key, late := range s.late {
		r.late(late.window, late.counts)
		remove = append(remove, wire.Write{Table: CountTable, Key: key, Delete: true})
	}
	for key, x := range s.withheld {
		r.withheldCounts(x.window, x.counts)
		remove = append(remove, wire.Write{Table: CountTable, Key: key, Delete: true})
	}
	answer, err := r.put(ctx, f.row, 0, remove[:min(len(remove), maxRemoved)])
	if err != nil {
		return err
	}
	if !answer.Committed {
		return fmt.Errorf("freeze usage window %d: it has already been frozen", s.row.Window)
	}
	f.revision = answer.Revision
	r.unreported = append(r.unreported, f)
	return nil
}

// put stores a window's row in place of the given revision and removes other rows in the same transaction.
func (r *Reporter) put(ctx context.Context, row windowRow, revision wire.Revision, remove []wire.Write) (wire.TransactAnswer, error) {
	value, err := json.Marshal(row)
	if err != nil {
		return wire.TransactAnswer{}, err
	}
	key := windowKey(row.Window)
	return r.fence.Transact(ctx, wire.TransactRequest{
		Checks: []wire.Check{{Table: WindowTable, Key: key, Revision: revision}},
		Writes: append([]wire.Write{{Table: WindowTable, Key: key, Value: value}}, remove...),
	})
}

// report reports the frozen windows in order and stops at the first error.
func (r *Reporter) report(ctx context.Context) error {
	r.shareFrozen()
	for len(r.unreported) > 0 {
		f := &r.unreported[0]
		if !r.mayReport(f) {
			return nil
		}
		if err := r.send(ctx, f.row); err != nil {
			return fmt.Errorf("report usage window %d: %w", f.row.Window, err)
		}
		if err := r.markReported(ctx, *f); err != nil {
			r.loaded = false
			return err
		}
	}
	return nil
}

// send sends the report of a window if the lease is still held under the epoch that the reporter has loaded.
func (r *Reporter) send(ctx context.Context, row windowRow) error {
	epoch, held := r.fence.Guard(reportTimeout)
	if !held || epoch != r.epoch {
		return fmt.Errorf("the lease is no longer held")
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return r.platform.ReportUsage(ctx, epoch, row.Window, maps.Clone(row.Counts))
}

// markReported marks a window as reported and removes its rows of counts, as rows that remain would count as late. Of the reported
// windows it keeps the last keptWindows.
func (r *Reporter) markReported(ctx context.Context, f frozenWindow) error {
	f.row.Reported = true
	var remove []wire.Write
	for source := range f.row.Sources {
		remove = append(remove, wire.Write{Table: CountTable, Key: sourceKey(f.row.Window, source), Delete: true})
	}
	for ; len(remove) > maxRemoved; remove = remove[maxRemoved:] {
		if _, err := r.fence.Transact(ctx, wire.TransactRequest{Writes: remove[:maxRemoved]}); err != nil {
			return err
		}
	}
	kept := append(r.kept, f.row.Window)
	if len(kept) > keptWindows {
		remove = append(remove, wire.Write{Table: WindowTable, Key: windowKey(kept[0]), Delete: true})
		delete(r.reported, kept[0])
		kept = kept[1:]
	}
	answer, err := r.put(ctx, f.row, f.revision, remove)
	if err != nil {
		return err
	}
	if !answer.Committed {
		return fmt.Errorf("mark usage window %d as reported: its row was changed by another instance", f.row.Window)
	}
	f.revision = answer.Revision
	r.share(&f)
	r.kept = kept
	r.reported[f.row.Window] = f.row.Sources
	r.unreported = r.unreported[1:]
	return nil
}

package metering

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"strings"
	"time"

	"cowslipshunt.example/wire"
)

// Fence is the lease that windows are frozen and reported under.
type Fence interface {
	// Transact commits only while the store names this process as the holder.
	Transact(ctx context.Context, r wire.TransactRequest) (wire.TransactAnswer, error)
	// Guard tells whether the lease is held for at least margin more, and with which epoch.
	Guard(margin time.Duration) (wire.Epoch, bool)
}

// Platform takes the reports. After an error a report may still arrive.
type Platform interface {
	ReportUsage(ctx context.Context, epoch wire.Epoch, w Window, counts Counts) error
}

// Bounds of reports.
const (
	// reportTimeout bounds one report; the lease has to be held for at least as long.
	reportTimeout = 700 * time.Millisecond
	// leastSettle is how long after a window's end it is frozen at the earliest: each instance has written its counts by then.
	leastSettle = 1200 * time.Millisecond
	// keptWindows is how many reported windows stay in the store, for questions.
	keptWindows = 12
	// maxRemoved bounds the rows that one transaction removes.
	maxRemoved = 60
)

// windowRow is a frozen window in the store.
type windowRow struct {
	Window Window
	Counts Counts
	Epoch  wire.Epoch
	// Sources are the rows that the counts are the sum of, by their key behind the window, with the agreed time of each one's
	// last write.
	Sources  map[string]time.Time
	Reported bool
}

// writers returns the instances that wrote counts of the window and when each wrote last.
func (w *windowRow) writers() map[wire.InstanceName]time.Time {
	last := map[wire.InstanceName]time.Time{}
	for source, written := range w.Sources {
		instance, _, _ := strings.Cut(source, "/")
		if name := wire.InstanceName(instance); written.After(last[name]) {
			last[name] = written
		}
	}
	return last
}

// frozen is a window's row and its revision.
type frozen struct {
	row      windowRow
	revision wire.Revision
}

// Reporter freezes and reports windows while the lease is held. It is for one goroutine.
type Reporter struct {
	table    Table
	fence    Fence
	platform Platform
	counter  *Counter
	bounds   Bounds
	// late is told of counts that came after their window was frozen, at least once. They are not reported: a window has one set of
	// counts.
	late func(w Window, counts Counts)

	epoch  wire.Epoch
	loaded bool
	next   Window
	open   []frozen
	kept   []Window
	// writers are the instances that wrote counts of the window that was frozen last and when, nil if that is not known.
	writers map[wire.InstanceName]time.Time
}

// Bounds are how long the counts of instances that do not write are waited for.
type Bounds struct {
	// Settle is how long after a window's end it is frozen although counts may be missing.
	Settle time.Duration
	// Gone is how long after its last write an instance counts as gone: no window waits for it any more.
	Gone time.Duration
}

// Option changes a reporter.
type Option func(*Reporter)

// WithLate sets what is told of counts that came after their window was frozen, so that they can be billed by hand.
func WithLate(late func(w Window, counts Counts)) Option {
	return func(r *Reporter) {
		r.late = late
	}
}

// NewReporter returns a reporter that has reported nothing.
func NewReporter(t Table, f Fence, p Platform, c *Counter, b Bounds, opts ...Option) *Reporter {
	r := &Reporter{table: t, fence: f, platform: p, counter: c, bounds: b, late: func(Window, Counts) {}}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Step freezes the windows that have settled and reports those that are frozen.
func (r *Reporter) Step(ctx context.Context) error {
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
	return r.report(ctx)
}

// load reads which windows are frozen and which of them are not reported.
func (r *Reporter) load(ctx context.Context) error {
	rows, err := r.table.Range(ctx, WindowTable, "", "")
	if err != nil {
		return err
	}
	r.open, r.kept, r.next, r.writers = nil, nil, 0, nil
	for _, row := range rows {
		var w windowRow
		if err := json.Unmarshal(row.Value, &w); err != nil {
			return fmt.Errorf("decode window %s: %w", row.Key, err)
		}
		r.next = w.Window + 1
		r.writers = w.writers()
		if w.Reported {
			r.kept = append(r.kept, w.Window)
			continue
		}
		r.open = append(r.open, frozen{row: w, revision: row.Revision})
	}
	return nil
}

// freezeSettled freezes the windows whose counts are complete, or that ended at least settle ago.
func (r *Reporter) freezeSettled(ctx context.Context) error {
	now := r.counter.now()
	last := r.counter.At(now.Add(-leastSettle)) - 1
	if r.next == 0 {
		if err := r.findFirst(ctx); err != nil {
			return err
		}
	}
	for r.next != 0 && r.next <= last {
		sum, err := r.sum(ctx, r.next)
		if err != nil {
			return err
		}
		if !sum.complete(r.writers, now.Add(-r.bounds.Gone)) && now.Before(r.counter.End(r.next).Add(r.bounds.Settle)) {
			return nil
		}
		if err := r.freeze(ctx, sum); err != nil {
			return err
		}
		r.writers = sum.row.writers()
		r.next++
	}
	return nil
}

// findFirst begins with the first window that has counts.
func (r *Reporter) findFirst(ctx context.Context) error {
	rows, err := r.table.Range(ctx, CountTable, "", "")
	if err != nil || len(rows) == 0 {
		return err
	}
	first, _, err := parseKey(rows[0].Key)
	r.next = first
	return err
}

// freeze writes a window's counts once. From then on the window has these counts, whoever reports it.
func (r *Reporter) freeze(ctx context.Context, s *windowSum) error {
	f := frozen{row: s.row}
	f.row.Epoch = r.epoch
	var remove []wire.Write
	for key, late := range s.late {
		r.late(late.window, late.counts)
		remove = append(remove, wire.Write{Table: CountTable, Key: key, Delete: true})
	}
	answer, err := r.put(ctx, f.row, 0, remove[:min(len(remove), maxRemoved)])
	if err != nil {
		return err
	}
	if !answer.Committed {
		return fmt.Errorf("window %d is frozen already", s.row.Window)
	}
	f.revision = answer.Revision
	r.open = append(r.open, f)
	return nil
}

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

// report sends the frozen windows in order until one fails.
func (r *Reporter) report(ctx context.Context) error {
	for len(r.open) > 0 {
		f := r.open[0]
		if err := r.send(ctx, f.row); err != nil {
			return fmt.Errorf("report window %d: %w", f.row.Window, err)
		}
		if err := r.markReported(ctx, f); err != nil {
			r.loaded = false
			return err
		}
	}
	return nil
}

func (r *Reporter) send(ctx context.Context, row windowRow) error {
	epoch, held := r.fence.Guard(reportTimeout)
	if !held || epoch != r.epoch {
		return fmt.Errorf("the lease is not held")
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return r.platform.ReportUsage(ctx, epoch, row.Window, maps.Clone(row.Counts))
}

// markReported notes that the platform has a window, and removes what is no longer needed: rows of counts that were left behind would
// be taken for late ones.
func (r *Reporter) markReported(ctx context.Context, f frozen) error {
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
		kept = kept[1:]
	}
	answer, err := r.put(ctx, f.row, f.revision, remove)
	if err != nil {
		return err
	}
	if !answer.Committed {
		return fmt.Errorf("window %d was changed by another", f.row.Window)
	}
	r.kept = kept
	r.open = r.open[1:]
	return nil
}

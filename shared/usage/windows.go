// Package usage closes usage windows and reports them to the platform.
package usage

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

// Tables of usage.
const (
	// TotalsTable holds each incarnation's cumulative totals.
	TotalsTable = "usage"
	// WindowTable holds the frozen windows, numbered from 1 without gaps.
	WindowTable = "window"
)

// scanLimit is how many rows one scan asks for.
const scanLimit = 500

// Table is the part of the platform's table service that windows read.
type Table interface {
	Read(ctx context.Context, table string, keys ...string) ([]wire.Row, error)
	Scan(ctx context.Context, table, prefix, after string, limit int) ([]wire.Row, error)
}

// Fence is the lease that windows are closed and reported under.
type Fence interface {
	// Transact commits only while the table names this process as the holder.
	Transact(ctx context.Context, r wire.TransactRequest) (wire.TransactAnswer, error)
	// Guard tells whether the lease is held for at least margin more, and with which epoch.
	Guard(margin time.Duration) (wire.Epoch, bool)
}

// Reporter carries reports to the platform. After an error a report may still arrive.
type Reporter interface {
	ReportUsage(ctx context.Context, report wire.UsageReport) error
}

// frozen is a window's row and its revision in the table.
type frozen struct {
	row      wire.WindowRow
	revision wire.Revision
}

// Windows closes and reports windows while the usage lease is held. It is for one goroutine.
type Windows struct {
	instance    wire.InstanceName
	incarnation wire.IncarnationId
	table       Table
	fence       Fence
	reporter    Reporter
	clock       clockwork.Clock
	length      time.Duration
	timeout     time.Duration

	epoch      wire.Epoch
	loaded     bool
	latest     frozen
	unreported []frozen
}

// Defaults of windows.
const (
	DefaultLength  = time.Minute
	DefaultTimeout = time.Second
)

// Option changes windows.
type Option func(*Windows)

// WithLength sets how long a window is.
func WithLength(d time.Duration) Option {
	return func(w *Windows) {
		w.length = d
	}
}

// WithTimeout bounds each report sent.
func WithTimeout(d time.Duration) Option {
	return func(w *Windows) {
		w.timeout = d
	}
}

// NewWindows returns windows for the process that an instance and incarnation name.
func NewWindows(instance wire.InstanceName, incarnation wire.IncarnationId, table Table, fence Fence, reporter Reporter,
	clock clockwork.Clock, opts ...Option) *Windows {
	w := &Windows{
		instance:    instance,
		incarnation: incarnation,
		table:       table,
		fence:       fence,
		reporter:    reporter,
		clock:       clock,
		length:      DefaultLength,
		timeout:     DefaultTimeout,
	}
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// Closed is the number of the last window known to be frozen.
func (w *Windows) Closed() int {
	return w.latest.row.Window
}

// Unreported is how many frozen windows the platform has not confirmed.
func (w *Windows) Unreported() int {
	return len(w.unreported)
}

// Step reports frozen windows and closes the present one if it is time to. It does nothing while the lease is not held.
func (w *Windows) Step(ctx context.Context) error {
	epoch, ok := w.fence.Guard(w.timeout)
	if !ok {
		w.loaded = false
		return nil
	}
	if !w.loaded || epoch != w.epoch {
		if err := w.load(ctx); err != nil {
			return err
		}
		w.epoch, w.loaded = epoch, true
	}
	if err := w.close(ctx); err != nil {
		return err
	}
	return w.report(ctx)
}

// due tells whether the present window's time is over.
func (w *Windows) due() bool {
	return w.latest.row.Window == 0 || w.clock.Since(w.latest.row.To) >= w.length
}

// close freezes the present window: its figures are the totals read now less those of the window before.
func (w *Windows) close(ctx context.Context) error {
	if !w.due() {
		return nil
	}
	totals, err := w.readTotals(ctx)
	if err != nil {
		return err
	}
	return w.freeze(ctx, w.next(totals))
}

func (w *Windows) next(totals []wire.UsageTotals) wire.WindowRow {
	before := w.latest.row
	now := w.clock.Now().UTC()
	row := wire.WindowRow{
		Window:  before.Window + 1,
		From:    before.To,
		To:      now,
		Figures: less(totals, before.Totals),
		Totals:  totals,
		Epoch:   w.epoch,
		Holder:  w.instance,
	}
	if before.Window == 0 {
		row.From = now.Add(-w.length)
	}
	return row
}

// freeze inserts a window's row. Unless that is known to have worked, the table has to be read again: an attempt whose
// answer was lost or another holder's window may be there.
func (w *Windows) freeze(ctx context.Context, row wire.WindowRow) error {
	answer, err := w.put(ctx, row, 0)
	if err != nil || !answer.Committed {
		w.loaded = false
		return err
	}
	w.latest = frozen{row: row, revision: answer.Revision}
	w.unreported = append(w.unreported, w.latest)
	return nil
}

func (w *Windows) put(ctx context.Context, row wire.WindowRow, revision wire.Revision) (wire.TransactAnswer, error) {
	value, err := json.Marshal(row)
	if err != nil {
		return wire.TransactAnswer{}, err
	}
	key := windowKey(row.Window)
	return w.fence.Transact(ctx, wire.TransactRequest{
		Checks: []wire.Check{{Table: WindowTable, Key: key, Revision: revision}},
		Writes: []wire.Write{{Table: WindowTable, Key: key, Value: value}},
	})
}

// report sends frozen windows in order until one fails. Every report of a window carries its frozen row's figures.
func (w *Windows) report(ctx context.Context) error {
	for len(w.unreported) > 0 && w.loaded {
		f := w.unreported[0]
		if err := w.send(ctx, f.row); err != nil {
			return fmt.Errorf("report window %d: %w", f.row.Window, err)
		}
		if err := w.markReported(ctx, f); err != nil {
			return err
		}
	}
	return nil
}

func (w *Windows) send(ctx context.Context, row wire.WindowRow) error {
	epoch, ok := w.fence.Guard(w.timeout)
	if !ok || epoch != w.epoch {
		return ErrNotHeld
	}
	ctx, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	return w.reporter.ReportUsage(ctx, wire.UsageReport{
		Window:      row.Window,
		Figures:     row.Figures,
		Holder:      w.instance,
		Incarnation: w.incarnation,
		Epoch:       epoch,
	})
}

func (w *Windows) markReported(ctx context.Context, f frozen) error {
	f.row.Reported = true
	answer, err := w.put(ctx, f.row, f.revision)
	if err != nil || !answer.Committed {
		w.loaded = false
		return err
	}
	if f.row.Window == w.latest.row.Window {
		w.latest = frozen{row: f.row, revision: answer.Revision}
	}
	w.unreported = w.unreported[1:]
	return nil
}

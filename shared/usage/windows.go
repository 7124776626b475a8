package usage

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

// Names of the tables that hold usage.
const (
	// TotalsTable holds each incarnation's cumulative totals.
	TotalsTable = "usage"
	// WindowTable holds the frozen windows, numbered from 1 without gaps. A window is frozen once its row is written: its
	// figures never change after that.
	WindowTable = "window"
)

// scanLimit is the maximum number of rows that one scan requests.
const scanLimit = 500

// Table is the part of the platform's table service that Windows reads from.
type Table interface {
	Read(ctx context.Context, table string, keys ...string) ([]wire.Row, error)
	Scan(ctx context.Context, table, prefix, after string, limit int) ([]wire.Row, error)
}

// Fence is the lease under which windows are frozen and reported.
type Fence interface {
	// Transact commits the request only if the table names this process as the holder of the lease.
	Transact(ctx context.Context, r wire.TransactRequest) (wire.TransactAnswer, error)
	// Guard returns the lease's epoch and reports whether the lease is held for at least margin from now.
	Guard(margin time.Duration) (wire.Epoch, bool)
}

// Reporter sends reports to the platform. A report may still arrive after an error was returned.
type Reporter interface {
	ReportUsage(ctx context.Context, report wire.UsageReport) error
}

// storedWindow is the row of a frozen window and its revision in the table.
type storedWindow struct {
	row      wire.WindowRow
	revision wire.Revision
}

// Windows freezes and reports usage windows while the usage lease is held. It is not safe for concurrent use.
type Windows struct {
	instance    wire.InstanceName
	incarnation wire.IncarnationId
	table       Table
	fence       Fence
	reporter    Reporter
	clock       clockwork.Clock
	length      time.Duration
	timeout     time.Duration

	// epoch is the lease's epoch under which the windows below were loaded.
	epoch wire.Epoch
	// loaded is false while latest and unreported may differ from the table.
	loaded     bool
	latest     storedWindow
	unreported []storedWindow
}

// Defaults of the options.
const (
	DefaultLength  = time.Minute
	DefaultTimeout = time.Second
)

// Option configures Windows.
type Option func(*Windows)

// WithLength sets the length of a window.
func WithLength(d time.Duration) Option {
	return func(w *Windows) {
		w.length = d
	}
}

// WithTimeout sets the timeout of each report.
func WithTimeout(d time.Duration) Option {
	return func(w *Windows) {
		w.timeout = d
	}
}

// NewWindows returns Windows for the process with the given instance and incarnation.
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

// LastFrozen returns the number of the last window known to be frozen, or zero if none is known.
func (w *Windows) LastFrozen() int {
	return w.latest.row.Window
}

// Unreported returns the number of frozen windows that are not known to be reported.
func (w *Windows) Unreported() int {
	return len(w.unreported)
}

// Step freezes the current window if its time is over, then reports the frozen windows that are not reported yet. It does
// nothing unless the lease is held for at least the timeout of a report.
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
	if err := w.freezeIfDue(ctx); err != nil {
		return err
	}
	return w.report(ctx)
}

// due reports whether the current window's time is over.
func (w *Windows) due() bool {
	return w.latest.row.Window == 0 || w.clock.Since(w.latest.row.To) >= w.length
}

// freezeIfDue freezes the current window if its time is over. Its figures are the totals read now minus the totals of the
// previous window.
func (w *Windows) freezeIfDue(ctx context.Context) error {
	if !w.due() {
		return nil
	}
	totals, err := w.readTotals(ctx)
	if err != nil {
		return err
	}
	return w.insert(ctx, w.nextRow(totals))
}

// nextRow returns the row of the current window, ending now.
func (w *Windows) nextRow(totals []wire.UsageTotals) wire.WindowRow {
	previous := w.latest.row
	now := w.clock.Now().UTC()
	row := wire.WindowRow{
		Window:  previous.Window + 1,
		From:    previous.To,
		To:      now,
		Figures: subtract(totals, previous.Totals),
		Totals:  totals,
		Epoch:   w.epoch,
		Holder:  w.instance,
	}
	if previous.Window == 0 {
		row.From = now.Add(-w.length)
	}
	return row
}

// insert adds a window's row to the table. If the transaction fails or does not commit, the windows are loaded again by
// the next Step: the row may have been written although the answer was lost, or another holder may have inserted the window.
func (w *Windows) insert(ctx context.Context, row wire.WindowRow) error {
	answer, err := w.writeRow(ctx, row, 0)
	if err != nil || !answer.Committed {
		w.loaded = false
		return err
	}
	w.latest = storedWindow{row: row, revision: answer.Revision}
	w.unreported = append(w.unreported, w.latest)
	return nil
}

// writeRow writes a window's row if its revision in the table is still the given one; zero means that the row is absent.
func (w *Windows) writeRow(ctx context.Context, row wire.WindowRow, revision wire.Revision) (wire.TransactAnswer, error) {
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

// report sends the unreported windows in order and stops at the first error or conflict. A window's figures are taken from
// its frozen row, so they are the same in every report of the window.
func (w *Windows) report(ctx context.Context) error {
	for len(w.unreported) > 0 && w.loaded {
		first := w.unreported[0]
		if err := w.sendReport(ctx, first.row); err != nil {
			return fmt.Errorf("report usage window %d: %w", first.row.Window, err)
		}
		if err := w.markReported(ctx, first); err != nil {
			return err
		}
	}
	return nil
}

func (w *Windows) sendReport(ctx context.Context, row wire.WindowRow) error {
	epoch, ok := w.fence.Guard(w.timeout)
	if !ok || epoch != w.epoch {
		return errLeaseTooShort
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

// markReported sets Reported in the row of the first unreported window and removes the window from the list.
func (w *Windows) markReported(ctx context.Context, s storedWindow) error {
	s.row.Reported = true
	answer, err := w.writeRow(ctx, s.row, s.revision)
	if err != nil || !answer.Committed {
		w.loaded = false
		return err
	}
	if s.row.Window == w.latest.row.Window {
		w.latest = storedWindow{row: s.row, revision: answer.Revision}
	}
	w.unreported = w.unreported[1:]
	return nil
}

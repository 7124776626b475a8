package usage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"cowslipshunt.example/wire"
)

// errLeaseTooShort is returned when a report is not sent because the lease is not held for the whole report timeout, or was
// acquired anew since the windows were loaded.
var errLeaseTooShort = errors.New("the usage lease is lost or ends within the report timeout")

// Window numbers have at most 32 bits. search finds one hexadecimal digit of the number with each read.
const (
	maxWindowBits = 32
	digitBits     = 4
)

func windowKey(n int) string {
	return fmt.Sprintf("%010d", n)
}

// load reads the last frozen window and all frozen windows that are not reported yet.
func (w *Windows) load(ctx context.Context) error {
	latest, err := w.findLatest(ctx)
	if err != nil {
		return err
	}
	var unreported []storedWindow
	for s := latest; s.row.Window > 0 && !s.row.Reported; {
		unreported = append([]storedWindow{s}, unreported...)
		if s, err = w.readWindow(ctx, s.row.Window-1); err != nil {
			return err
		}
	}
	w.latest, w.unreported = latest, unreported
	return nil
}

// findLatest returns the last frozen window. It reads forward from the last one loaded before, or searches if there is none.
func (w *Windows) findLatest(ctx context.Context) (storedWindow, error) {
	if w.latest.row.Window == 0 {
		return w.search(ctx)
	}
	var latest storedWindow
	for next := w.latest.row.Window; ; next = latest.row.Window + 1 {
		found, err := w.readWindows(ctx, next, next+1)
		if err != nil {
			return storedWindow{}, err
		}
		latest = newest(latest, found)
		if len(found) < 2 {
			return latest, nil
		}
	}
}

// newest returns the window with the highest number among latest and list.
func newest(latest storedWindow, list []storedWindow) storedWindow {
	for _, s := range list {
		if s.row.Window > latest.row.Window {
			latest = s
		}
	}
	return latest
}

// search finds the last frozen window by a 16-way search: each read determines one hexadecimal digit of its number, which
// works because the numbers have no gaps.
func (w *Windows) search(ctx context.Context) (storedWindow, error) {
	var latest storedWindow
	for shift := maxWindowBits - digitBits; shift >= 0; shift -= digitBits {
		var numbers []int
		for digit := 1; digit < 1<<digitBits; digit++ {
			numbers = append(numbers, latest.row.Window+digit<<shift)
		}
		found, err := w.readWindows(ctx, numbers...)
		if err != nil {
			return storedWindow{}, err
		}
		latest = newest(latest, found)
	}
	return latest, nil
}

// readWindows returns the frozen windows that exist among numbers.
func (w *Windows) readWindows(ctx context.Context, numbers ...int) ([]storedWindow, error) {
	keys := make([]string, 0, len(numbers))
	for _, n := range numbers {
		keys = append(keys, windowKey(n))
	}
	rows, err := w.table.Read(ctx, WindowTable, keys...)
	if err != nil {
		return nil, err
	}
	list := make([]storedWindow, len(rows))
	for i, r := range rows {
		list[i].revision = r.Revision
		if err := json.Unmarshal(r.Value, &list[i].row); err != nil {
			return nil, fmt.Errorf("decode usage window %s: %w", r.Key, err)
		}
	}
	return list, nil
}

// readWindow returns window n, or a window with number zero if n does not exist.
func (w *Windows) readWindow(ctx context.Context, n int) (storedWindow, error) {
	list, err := w.readWindows(ctx, n)
	if err != nil || len(list) == 0 {
		return storedWindow{}, err
	}
	return list[0], nil
}

// readTotals returns the newest totals of every incarnation: those in the table, and those recorded in the last frozen
// window where the table's row has been deleted or is older.
func (w *Windows) readTotals(ctx context.Context) ([]wire.UsageTotals, error) {
	totals := newTotalsSet(w.latest.row.Totals)
	after := ""
	for {
		rows, err := w.table.Scan(ctx, TotalsTable, "", after, scanLimit)
		if err != nil {
			return nil, err
		}
		for _, r := range rows {
			var row wire.UsageRow
			if err := json.Unmarshal(r.Value, &row); err != nil {
				return nil, fmt.Errorf("decode usage totals of %s: %w", r.Key, err)
			}
			totals.add(row.Totals)
		}
		if len(rows) < scanLimit {
			return totals.list(), nil
		}
		after = rows[len(rows)-1].Key
	}
}

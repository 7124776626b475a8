package usage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"cowslipshunt.example/wire"
)

// ErrNotHeld is returned for a report that the lease does not last for.
var ErrNotHeld = errors.New("the usage lease is not held long enough")

// Window numbers have at most 32 bits, and are searched a hexadecimal digit at a time.
const (
	maxWindowBits = 32
	digitBits     = 4
)

func windowKey(n int) string {
	return fmt.Sprintf("%010d", n)
}

// load finds the last frozen window and those not reported yet.
func (w *Windows) load(ctx context.Context) error {
	latest, err := w.findLatest(ctx)
	if err != nil {
		return err
	}
	var unreported []frozen
	for f := latest; f.row.Window > 0 && !f.row.Reported; {
		unreported = append([]frozen{f}, unreported...)
		if f, err = w.window(ctx, f.row.Window-1); err != nil {
			return err
		}
	}
	w.latest, w.unreported = latest, unreported
	return nil
}

// findLatest searches for the last window, a hexadecimal digit of its number with each read, as numbers have no gaps.
func (w *Windows) findLatest(ctx context.Context) (frozen, error) {
	var latest frozen
	for shift := maxWindowBits - digitBits; shift >= 0; shift -= digitBits {
		var numbers []int
		for digit := 1; digit < 1<<digitBits; digit++ {
			numbers = append(numbers, latest.row.Window+digit<<shift)
		}
		found, err := w.read(ctx, numbers...)
		if err != nil {
			return frozen{}, err
		}
		for _, f := range found {
			if f.row.Window > latest.row.Window {
				latest = f
			}
		}
	}
	return latest, nil
}

// read returns the windows that exist among numbers.
func (w *Windows) read(ctx context.Context, numbers ...int) ([]frozen, error) {
	keys := make([]string, 0, len(numbers))
	for _, n := range numbers {
		keys = append(keys, windowKey(n))
	}
	rows, err := w.table.Read(ctx, WindowTable, keys...)
	if err != nil {
		return nil, err
	}
	list := make([]frozen, len(rows))
	for i, r := range rows {
		list[i].revision = r.Revision
		if err := json.Unmarshal(r.Value, &list[i].row); err != nil {
			return nil, fmt.Errorf("decode window %s: %w", r.Key, err)
		}
	}
	return list, nil
}

// window reads one window; an absent one has the number zero.
func (w *Windows) window(ctx context.Context, n int) (frozen, error) {
	list, err := w.read(ctx, n)
	if err != nil || len(list) == 0 {
		return frozen{}, err
	}
	return list[0], nil
}

// readTotals returns every incarnation's totals: those in the table, and those that the last window names of rows that
// are gone or were newer.
func (w *Windows) readTotals(ctx context.Context) ([]wire.UsageTotals, error) {
	newest := newTotalsSet(w.latest.row.Totals)
	after := ""
	for {
		rows, err := w.table.Scan(ctx, TotalsTable, "", after, scanLimit)
		if err != nil {
			return nil, err
		}
		for _, r := range rows {
			var row wire.UsageRow
			if err := json.Unmarshal(r.Value, &row); err != nil {
				return nil, fmt.Errorf("decode totals of %s: %w", r.Key, err)
			}
			newest.add(row.Totals)
		}
		if len(rows) < scanLimit {
			return newest.list(), nil
		}
		after = rows[len(rows)-1].Key
	}
}

package metering

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"cowslipshunt.example/shared/era"
	"cowslipshunt.example/wire"
)

// load reads the frozen windows from the store.
func (r *Reporter) load(ctx context.Context) error {
	if _, err := r.restores.Copies.Restore(ctx, r.table, r.era, r.counter.now()); err != nil {
		return err
	}
	rows, err := r.table.Range(ctx, WindowTable, "", "")
	if err != nil {
		return err
	}
	r.unreported, r.kept, r.next, r.lastWriters, r.occupied = nil, nil, 0, nil, map[Window]bool{}
	r.frozenInEra = false
	r.reported = map[Window]map[string]time.Time{}
	for _, row := range rows {
		w, err := r.decodeWindow(row)
		if err != nil {
			r.malformed(WindowTable, row.Key, err)
			if w, _, err := parseKey(row.Key); err == nil && row.Key == windowKey(w) {
				r.occupied[w] = true
			}
			continue
		}
		r.next = w.Window + 1
		r.frozenInEra = r.frozenInEra || era.OfEpoch(int(w.Epoch)) == r.era
		r.lastWriters = w.writers()
		if w.Reported {
			r.kept = append(r.kept, w.Window)
			r.reported[w.Window] = w.Sources
			continue
		}
		r.unreported = append(r.unreported, frozenWindow{row: w, revision: row.Revision})
	}
	return nil
}

// decodeWindow decodes the row of a frozen window. A window that has not begun cannot be frozen.
func (r *Reporter) decodeWindow(row wire.Row) (windowRow, error) {
	var w windowRow
	if err := json.Unmarshal(row.Value, &w); err != nil {
		return windowRow{}, fmt.Errorf("decode usage window %s: %w", row.Key, err)
	}
	if row.Key != windowKey(w.Window) || w.Window < 0 || w.Window > r.counter.At(r.counter.now())+1 {
		return windowRow{}, fmt.Errorf("usage window %d has the key %.64q", w.Window, row.Key)
	}
	return w, w.Counts.valid()
}

// findFirst sets next to the first window that has counts.
func (r *Reporter) findFirst(ctx context.Context) error {
	rows, err := r.table.Range(ctx, CountTable, "", "")
	if err != nil {
		return err
	}
	for _, row := range rows {
		first, _, _, err := decodeCounts(row)
		if err == nil {
			r.next = first
			return nil
		}
		r.malformed(CountTable, row.Key, err)
	}
	return nil
}

package metering

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"cowslipshunt.example/wire"
)

// windowSum is what the store holds of a window's counts.
type windowSum struct {
	// row is the window as it would be frozen.
	row windowRow
	// after are the instances that wrote counts of the next window: they have written all of this one.
	after map[wire.InstanceName]bool
	// late are the counts that came after their window was frozen, by the key of their row.
	late map[string]lateCounts
}

type lateCounts struct {
	window Window
	counts Counts
}

// complete tells whether all that wrote counts of this window or the one before have gone on to the next, but for those that
// wrote nothing since gone. Nobody is known to have if the writers of the one before are not.
func (s *windowSum) complete(before map[wire.InstanceName]time.Time, gone time.Time) bool {
	last := s.row.writers()
	for instance, at := range before {
		if _, wrote := last[instance]; !wrote {
			last[instance] = at
		}
	}
	for instance, at := range last {
		if !s.after[instance] && at.After(gone) {
			return false
		}
	}
	return before != nil
}

// sum reads the counts of a window, and those that came too late for an earlier one.
func (r *Reporter) sum(ctx context.Context, w Window) (*windowSum, error) {
	rows, err := r.table.Range(ctx, CountTable, "", windowKey(w+2))
	if err != nil {
		return nil, err
	}
	s := &windowSum{
		row:   windowRow{Window: w, Counts: Counts{}, Sources: map[string]time.Time{}},
		after: map[wire.InstanceName]bool{},
		late:  map[string]lateCounts{},
	}
	for _, row := range rows {
		of, source, written, err := decodeCounts(row)
		if err != nil {
			return nil, err
		}
		switch {
		case of > w:
			instance, _, _ := strings.Cut(source, "/")
			s.after[wire.InstanceName(instance)] = true
		case of < w:
			s.late[row.Key] = lateCounts{window: of, counts: written.Counts}
		default:
			s.row.Counts.Add(written.Counts)
			s.row.Sources[source] = written.Written
		}
	}
	return s, nil
}

// decodeCounts reads a row of counts and returns its window and its source.
func decodeCounts(row wire.Row) (Window, string, countRow, error) {
	w, source, err := parseKey(row.Key)
	if err != nil {
		return 0, "", countRow{}, fmt.Errorf("decode the key of counts %s: %w", row.Key, err)
	}
	var written countRow
	if err := json.Unmarshal(row.Value, &written); err != nil {
		return 0, "", countRow{}, fmt.Errorf("decode counts %s: %w", row.Key, err)
	}
	return w, source, written, nil
}

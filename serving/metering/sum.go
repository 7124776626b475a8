package metering

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"cowslipshunt.example/wire"
)

// windowSum is the sum of the stored counts of a window.
type windowSum struct {
	// row is the window as it would be frozen.
	row windowRow
	// wroteNext are the instances that wrote counts of the next window, and thus all their counts of this one.
	wroteNext map[wire.InstanceName]bool
	// late are the counts of earlier windows that were written after their window was frozen, by the key of their row.
	late map[string]lateCounts
}

type lateCounts struct {
	window Window
	counts Counts
}

// complete reports whether every instance that wrote counts of this window or the previous one has written counts of the next.
// Instances whose last write was not after goneSince count as gone and are not waited for. The result is false if the writers of
// the previous window are not known (nil).
func (s *windowSum) complete(previousWriters map[wire.InstanceName]time.Time, goneSince time.Time) bool {
	lastWrite := s.row.writers()
	for instance, at := range previousWriters {
		if _, wrote := lastWrite[instance]; !wrote {
			lastWrite[instance] = at
		}
	}
	for instance, at := range lastWrite {
		if !s.wroteNext[instance] && at.After(goneSince) {
			return false
		}
	}
	return previousWriters != nil
}

// sum reads and adds up the counts of a window. It also finds late counts of earlier windows.
func (r *Reporter) sum(ctx context.Context, w Window) (*windowSum, error) {
	rows, err := r.table.Range(ctx, CountTable, "", windowKey(w+2))
	if err != nil {
		return nil, err
	}
	s := &windowSum{
		row:       windowRow{Window: w, Counts: Counts{}, Sources: map[string]time.Time{}},
		wroteNext: map[wire.InstanceName]bool{},
		late:      map[string]lateCounts{},
	}
	for _, row := range rows {
		window, source, written, err := decodeCounts(row)
		if err != nil {
			return nil, err
		}
		switch {
		case window > w: // w+1, at which the range ends
			instance, _, _ := strings.Cut(source, "/")
			s.wroteNext[wire.InstanceName(instance)] = true
		case window < w:
			s.late[row.Key] = lateCounts{window: window, counts: written.Counts}
		default:
			s.row.Counts.Add(written.Counts)
			s.row.Sources[source] = written.Written
		}
	}
	return s, nil
}

// decodeCounts decodes a row of counts and returns its window, source and value.
func decodeCounts(row wire.Row) (Window, string, countRow, error) {
	w, source, err := parseKey(row.Key)
	if err != nil {
		return 0, "", countRow{}, fmt.Errorf("decode the key of usage counts %s: %w", row.Key, err)
	}
	var written countRow
	if err := json.Unmarshal(row.Value, &written); err != nil {
		return 0, "", countRow{}, fmt.Errorf("decode usage counts %s: %w", row.Key, err)
	}
	return w, source, written, nil
}

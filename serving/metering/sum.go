package metering

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"cowslipshunt.example/wire"
)

// supersededDelay is how long after its end a window waits for the counts of an incarnation whose instance runs a newer one: the time
// in which peers write the counts that were handed off to them.
const supersededDelay = 4 * time.Second

// windowSum is the sum of the stored counts of a window.
type windowSum struct {
	// row is the window as it would be frozen.
	row windowRow
	// wroteNext are the sources that wrote counts of the next window, and thus all their counts of this one.
	wroteNext map[string]bool
	// newest is the source of each instance that wrote last, with the time of that write.
	newest map[wire.InstanceName]sourceWrite
	// late are the counts of earlier windows that were written after their window was frozen, by the key of their row.
	late map[string]lateCounts
	// withheld are the counts of earlier windows that are not frozen, by the key of their row.
	withheld map[string]lateCounts
	// repeated are the keys of counts of reported windows that include them: they were written again after a restore of the store.
	repeated []string
}

// sourceWrite is a write of a source.
type sourceWrite struct {
	source  string
	written time.Time
}

type lateCounts struct {
	window Window
	counts Counts
}

// complete reports whether every source that wrote counts of this window or the previous one has written counts of the next, has
// ended, or counts as gone as its last write was not after goneSince. If waitForSuperseded is not set, sources whose instance runs a newer
// incarnation are not waited for either. The result is false if the writers of the previous window are not known (nil).
func (s *windowSum) complete(previousWriters map[string]time.Time, goneSince time.Time, waitForSuperseded bool) bool {
	lastWrite := s.row.writers()
	for source, at := range previousWriters {
		if _, wrote := s.row.Sources[source]; !wrote {
			lastWrite[source] = at
		}
	}
	for source, at := range lastWrite {
		if s.wroteNext[source] || !at.After(goneSince) || !waitForSuperseded && s.superseded(source, at) {
			continue
		}
		return false
	}
	return previousWriters != nil
}

// superseded reports whether the instance of a source that wrote last at a time has a newer incarnation.
func (s *windowSum) superseded(source string, at time.Time) bool {
	newest, known := s.newest[sourceInstance(source)]
	return known && newest.source != source && newest.written.After(at)
}

// noteWrite updates newest.
func (s *windowSum) noteWrite(source string, written time.Time) {
	instance := sourceInstance(source)
	if newest, known := s.newest[instance]; !known || written.After(newest.written) {
		s.newest[instance] = sourceWrite{source: source, written: written}
	}
}

// sum reads and adds up the counts of a window. It also finds late counts of earlier windows.
func (r *Reporter) sum(ctx context.Context, w Window) (*windowSum, error) {
	rows, err := r.table.Range(ctx, CountTable, "", windowKey(w+2))
	if err != nil {
		return nil, err
	}
	s := &windowSum{
		row:       windowRow{Window: w, Counts: Counts{}, Sources: map[string]time.Time{}},
		wroteNext: map[string]bool{},
		newest:    map[wire.InstanceName]sourceWrite{},
		late:      map[string]lateCounts{},
		withheld:  map[string]lateCounts{},
	}
	for _, row := range rows {
		window, source, written, err := decodeCounts(row)
		if err != nil {
			r.malformed(CountTable, row.Key, err)
			continue
		}
		switch {
		case window > w: // w+1, at which the range ends
			s.wroteNext[source] = true
			s.noteWrite(source, written.Written)
		case window < w && r.hasFrozen(window, source, written.Written):
			// The row is removed once its window has been reported.
		case window < w && r.hasReported(window, source, written.Written):
			s.repeated = append(s.repeated, row.Key)
		case window < w && r.isWithheld(window):
			s.withheld[row.Key] = lateCounts{window: window, counts: written.Counts}
		case window < w:
			s.late[row.Key] = lateCounts{window: window, counts: written.Counts}
		default:
			s.row.Counts.Add(written.Counts)
			s.row.Sources[source] = written.Written
			s.noteWrite(source, written.Written)
			if written.Ended {
				s.row.Ended = append(s.row.Ended, source)
			}
		}
	}
	return s, nil
}

// hasReported reports whether a reported window includes the counts that a source wrote at a time.
func (r *Reporter) hasReported(w Window, source string, written time.Time) bool {
	included, ok := r.reported[w][source]
	return ok && !written.After(included)
}

// hasFrozen reports whether a frozen window that is not marked as reported includes the counts that a source wrote at a time.
func (r *Reporter) hasFrozen(w Window, source string, written time.Time) bool {
	for _, f := range r.unreported {
		if f.row.Window == w {
			included, ok := f.row.Sources[source]
			return ok && !written.After(included)
		}
	}
	return false
}

// decodeCounts decodes a row of counts and returns its window, source and value.
func decodeCounts(row wire.Row) (Window, string, countRow, error) {
	w, source, err := parseKey(row.Key)
	if err != nil {
		return 0, "", countRow{}, fmt.Errorf("decode the key of usage counts %s: %w", row.Key, err)
	}
	if !isKeyOf(row.Key, w) || source == "" {
		return 0, "", countRow{}, fmt.Errorf("usage counts have the key %.64q", row.Key)
	}
	var written countRow
	if err := json.Unmarshal(row.Value, &written); err != nil {
		return 0, "", countRow{}, fmt.Errorf("decode usage counts %s: %w", row.Key, err)
	}
	if err := written.Counts.valid(); err != nil {
		return 0, "", countRow{}, fmt.Errorf("usage counts %s: %w", row.Key, err)
	}
	return w, source, written, nil
}

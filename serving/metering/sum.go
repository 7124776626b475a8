package metering

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"cowslipshunt.example/wire"
)

// windowSum is what the store holds of a window's counts.
type windowSum struct {
	window  Window
	counts  Counts
	sources []string
	// writers are the instances that wrote counts of the window and when each wrote last, after those that wrote of the next
	// one: they have written all of this one.
	writers map[wire.InstanceName]time.Time
	after   map[wire.InstanceName]bool
	late    map[Window]Counts
}

// complete tells whether all that wrote counts of this window or the one before have gone on to the next, but for those that
// wrote nothing since gone. Nobody is known to have if the writers of the one before are not.
func (s *windowSum) complete(before map[wire.InstanceName]time.Time, gone time.Time) bool {
	for _, writers := range []map[wire.InstanceName]time.Time{before, s.writers} {
		for instance := range writers {
			if !s.after[instance] && s.lastWrite(instance, before).After(gone) {
				return false
			}
		}
	}
	return before != nil
}

// lastWrite returns when an instance wrote counts of this window or the one before last.
func (s *windowSum) lastWrite(instance wire.InstanceName, before map[wire.InstanceName]time.Time) time.Time {
	if at, wrote := s.writers[instance]; wrote {
		return at
	}
	return before[instance]
}

// sum reads the counts of a window, and those that came too late for an earlier one.
func (r *Reporter) sum(ctx context.Context, w Window) (*windowSum, error) {
	rows, err := r.table.Range(ctx, CountTable, "", windowKey(w+2))
	if err != nil {
		return nil, err
	}
	s := &windowSum{
		window:  w,
		counts:  Counts{},
		writers: map[wire.InstanceName]time.Time{},
		after:   map[wire.InstanceName]bool{},
		late:    map[Window]Counts{},
	}
	for _, row := range rows {
		of, instance, written, err := decodeCounts(row)
		if err != nil {
			return nil, err
		}
		if of > w {
			s.after[instance] = true
			continue
		}
		s.sources = append(s.sources, row.Key)
		if of < w {
			s.late[of] = written.Counts
			continue
		}
		if written.Written.After(s.writers[instance]) {
			s.writers[instance] = written.Written
		}
		s.counts.Add(written.Counts)
	}
	return s, nil
}

func decodeCounts(row wire.Row) (Window, wire.InstanceName, countRow, error) {
	w, instance, err := parseKey(row.Key)
	if err != nil {
		return 0, "", countRow{}, fmt.Errorf("decode the key of counts %s: %w", row.Key, err)
	}
	var written countRow
	if err := json.Unmarshal(row.Value, &written); err != nil {
		return 0, "", countRow{}, fmt.Errorf("decode counts %s: %w", row.Key, err)
	}
	return w, instance, written, nil
}

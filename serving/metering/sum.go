package metering

import (
	"context"
	"encoding/json"
	"fmt"

	"cowslipshunt.example/wire"
)

// windowSum is what the store holds of a window's counts.
type windowSum struct {
	window  Window
	counts  Counts
	sources []string
	// writers are the instances that wrote counts of the window, after those that wrote of the next one: they have written
	// all of this one.
	writers, after map[wire.InstanceName]bool
	late           map[Window]Counts
}

// complete tells whether all that wrote counts of this window or the one before have gone on to the next. Nobody is known to
// have if the writers of the one before are not.
func (s *windowSum) complete(before map[wire.InstanceName]bool) bool {
	for _, writers := range []map[wire.InstanceName]bool{before, s.writers} {
		for instance := range writers {
			if !s.after[instance] {
				return false
			}
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
		window:  w,
		counts:  Counts{},
		writers: map[wire.InstanceName]bool{},
		after:   map[wire.InstanceName]bool{},
		late:    map[Window]Counts{},
	}
	for _, row := range rows {
		of, instance, counts, err := decodeCounts(row)
		if err != nil {
			return nil, err
		}
		if of > w {
			s.after[instance] = true
			continue
		}
		s.sources = append(s.sources, row.Key)
		if of < w {
			s.late[of] = counts
			continue
		}
		s.writers[instance] = true
		s.counts.Add(counts)
	}
	return s, nil
}

func decodeCounts(row wire.Row) (Window, wire.InstanceName, Counts, error) {
	w, instance, err := parseKey(row.Key)
	if err != nil {
		return 0, "", nil, fmt.Errorf("decode the key of counts %s: %w", row.Key, err)
	}
	var counts Counts
	if err := json.Unmarshal(row.Value, &counts); err != nil {
		return 0, "", nil, fmt.Errorf("decode counts %s: %w", row.Key, err)
	}
	return w, instance, counts, nil
}

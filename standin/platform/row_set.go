package main

import (
	"slices"
	"strings"

	"cowslipshunt.example/wire"
)

// rowSet holds one table's rows by key, and the keys in sorted order.
type rowSet struct {
	rows map[string]wire.Row
	keys []string
}

func newRowSet() *rowSet {
	return &rowSet{rows: map[string]wire.Row{}}
}

func (s *rowSet) put(row wire.Row) {
	if i, found := slices.BinarySearch(s.keys, row.Key); !found {
		s.keys = slices.Insert(s.keys, i, row.Key)
	}
	s.rows[row.Key] = row
}

func (s *rowSet) remove(key string) {
	if i, found := slices.BinarySearch(s.keys, key); found {
		s.keys = slices.Delete(s.keys, i, i+1)
	}
	delete(s.rows, key)
}

func (s *rowSet) scan(prefix, after string, limit int) []wire.Row {
	rows := []wire.Row{}
	start, _ := slices.BinarySearch(s.keys, max(prefix, after))
	for _, key := range s.keys[start:] {
		if len(rows) == limit || !strings.HasPrefix(key, prefix) {
			break
		}
		if key > after {
			rows = append(rows, s.rows[key])
		}
	}
	return rows
}

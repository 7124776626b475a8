package main

import (
	"sync"

	"cowslipshunt.example/wire"
)

// Table is the table service. It keeps rows in memory and changes them in atomic transactions.
type Table struct {
	mu       sync.Mutex
	revision wire.Revision
	tables   map[string]*rowSet
}

// NewTable returns an empty table service.
func NewTable() *Table {
	return &Table{tables: map[string]*rowSet{}}
}

// Read returns the rows with the requested keys, without those that do not exist.
func (t *Table) Read(r wire.ReadRequest) (wire.RowsAnswer, error) {
	if r.Table == "" {
		return wire.RowsAnswer{}, invalid("table is missing")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	answer := wire.RowsAnswer{Rows: []wire.Row{}}
	for _, key := range r.Keys {
		if row, ok := t.row(r.Table, key); ok {
			answer.Rows = append(answer.Rows, row)
		}
	}
	return answer, nil
}

// Scan returns up to r.Limit rows whose keys begin with r.Prefix and sort after r.After, in key order.
func (t *Table) Scan(r wire.ScanRequest) (wire.RowsAnswer, error) {
	if r.Table == "" {
		return wire.RowsAnswer{}, invalid("table is missing")
	}
	if r.Limit < 1 {
		return wire.RowsAnswer{}, invalid("limit %d is less than 1", r.Limit)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	answer := wire.RowsAnswer{Rows: []wire.Row{}}
	if set, ok := t.tables[r.Table]; ok {
		answer.Rows = set.scan(r.Prefix, r.After, r.Limit)
	}
	return answer, nil
}

// Transact applies all writes if every check's revision is the row's current one, and otherwise returns the rows that differ.
// Each commit gets the next revision, which is also the revision of the rows that it writes.
func (t *Table) Transact(r wire.TransactRequest) (wire.TransactAnswer, error) {
	if err := checkTransaction(r); err != nil {
		return wire.TransactAnswer{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if conflicts := t.conflicts(r.Checks); len(conflicts) > 0 {
		return wire.TransactAnswer{Conflicts: conflicts, Revision: t.revision}, nil
	}
	t.revision++
	for _, w := range r.Writes {
		t.write(w)
	}
	return wire.TransactAnswer{Committed: true, Conflicts: []wire.Row{}, Revision: t.revision}, nil
}

func (t *Table) row(table, key string) (wire.Row, bool) {
	set, ok := t.tables[table]
	if !ok {
		return wire.Row{Table: table, Key: key}, false
	}
	row, ok := set.rows[key]
	if !ok {
		return wire.Row{Table: table, Key: key}, false
	}
	return row, true
}

func (t *Table) conflicts(checks []wire.Check) []wire.Row {
	var rows []wire.Row
	for _, c := range checks {
		if row, _ := t.row(c.Table, c.Key); row.Revision != c.Revision {
			rows = append(rows, row)
		}
	}
	return rows
}

func (t *Table) write(w wire.Write) {
	set, ok := t.tables[w.Table]
	if !ok {
		set = newRowSet()
		t.tables[w.Table] = set
	}
	if w.Delete {
		set.remove(w.Key)
		return
	}
	set.put(wire.Row{Table: w.Table, Key: w.Key, Revision: t.revision, Value: w.Value})
}

type rowName struct {
	table, key string
}

// checkTransaction rejects checks and writes without a table or key. It also rejects two writes of one row, since their result
// would depend on the order of the writes.
func checkTransaction(r wire.TransactRequest) error {
	for _, c := range r.Checks {
		if c.Table == "" || c.Key == "" {
			return invalid("a check lacks its table or key")
		}
	}
	written := map[rowName]bool{}
	for _, w := range r.Writes {
		if w.Table == "" || w.Key == "" {
			return invalid("a write lacks its table or key")
		}
		name := rowName{w.Table, w.Key}
		if written[name] {
			return invalid("%s %q is written twice", w.Table, w.Key)
		}
		written[name] = true
	}
	return nil
}

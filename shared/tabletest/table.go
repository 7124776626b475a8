// Package tabletest is an in-memory table service with faults, for tests that decide when answers are lost.
package tabletest

import (
	"context"
	"errors"
	"slices"
	"strings"

	"cowslipshunt.example/wire"
)

// Fault is what happens to one call.
type Fault int

// The faults of a call.
const (
	// None answers.
	None Fault = iota
	// Refused fails without effect.
	Refused
	// Lost takes effect and fails.
	Lost
	// Late fails, and takes effect when DeliverLate is called.
	Late
)

// ErrFault is returned by a call that met a fault.
var ErrFault = errors.New("injected fault")

type key struct {
	table, key string
}

// Table is a table service for one goroutine.
type Table struct {
	// Fault picks the fault of the next transaction.
	Fault func() Fault
	// QueryFails tells whether the next read or scan fails.
	QueryFails func() bool
	// Delay runs before and after a call takes effect.
	Delay func()

	rows     map[key]wire.Row
	revision wire.Revision
	late     []wire.TransactRequest
}

// New returns an empty table without faults.
func New() *Table {
	return &Table{
		Fault:      func() Fault { return None },
		QueryFails: func() bool { return false },
		Delay:      func() {},
		rows:       map[key]wire.Row{},
	}
}

// Read returns the rows that exist among keys.
func (t *Table) Read(_ context.Context, table string, keys ...string) ([]wire.Row, error) {
	t.Delay()
	var rows []wire.Row
	for _, k := range keys {
		if r, ok := t.rows[key{table, k}]; ok {
			rows = append(rows, r)
		}
	}
	t.Delay()
	return rows, t.queryFault()
}

// Scan returns up to limit rows whose keys start with prefix and come behind after, in key order.
func (t *Table) Scan(_ context.Context, table, prefix, after string, limit int) ([]wire.Row, error) {
	t.Delay()
	rows := t.Rows(table, prefix)
	rows = slices.DeleteFunc(rows, func(r wire.Row) bool { return r.Key <= after })
	return rows[:min(limit, len(rows))], t.queryFault()
}

// Rows returns every row of a table whose key starts with prefix, in key order and without faults.
func (t *Table) Rows(table, prefix string) []wire.Row {
	var rows []wire.Row
	for k, r := range t.rows {
		if k.table == table && strings.HasPrefix(k.key, prefix) {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b wire.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

func (t *Table) queryFault() error {
	if t.QueryFails() {
		return ErrFault
	}
	return nil
}

// Transact applies all writes if every check holds.
func (t *Table) Transact(_ context.Context, r wire.TransactRequest) (wire.TransactAnswer, error) {
	t.Delay()
	fault := t.Fault()
	var answer wire.TransactAnswer
	switch fault {
	case None, Lost:
		answer = t.Commit(r)
	case Late:
		t.late = append(t.late, r)
	}
	t.Delay()
	if fault != None {
		return wire.TransactAnswer{}, ErrFault
	}
	return answer, nil
}

// DeliverLate lets the oldest late transaction arrive.
func (t *Table) DeliverLate() {
	if len(t.late) == 0 {
		return
	}
	t.Commit(t.late[0])
	t.late = t.late[1:]
}

// Commit applies a transaction without faults.
func (t *Table) Commit(r wire.TransactRequest) wire.TransactAnswer {
	answer := wire.TransactAnswer{Revision: t.revision}
	for _, c := range r.Checks {
		k := key{c.Table, c.Key}
		if t.rows[k].Revision != c.Revision {
			present := t.rows[k]
			present.Table, present.Key = c.Table, c.Key
			answer.Conflicts = append(answer.Conflicts, present)
		}
	}
	if len(answer.Conflicts) > 0 {
		return answer
	}
	t.revision++
	for _, w := range r.Writes {
		k := key{w.Table, w.Key}
		if w.Delete {
			delete(t.rows, k)
			continue
		}
		t.rows[k] = wire.Row{Table: w.Table, Key: w.Key, Value: w.Value, Revision: t.revision}
	}
	answer.Committed, answer.Revision = true, t.revision
	return answer
}

// Package tabletest is an in-memory table service with injected faults, for tests of lost and delayed calls.
package tabletest

import (
	"context"
	"errors"
	"slices"
	"strings"

	"cowslipshunt.example/shared/era"
	"cowslipshunt.example/wire"
)

// Fault is the fault of one transaction.
type Fault int

// Values of Fault.
const (
	// None lets the transaction succeed.
	None Fault = iota
	// Refused returns an error without effect.
	Refused
	// Lost applies the transaction and returns an error, as if the answer was lost.
	Lost
	// Late returns an error and applies the transaction when ApplyLate is called.
	Late
)

// ErrFault is the error of a call with an injected fault.
var ErrFault = errors.New("injected fault")

// key identifies a row.
type key struct {
	table, key string
}

// Table is a table service. It is not safe for concurrent use.
type Table struct {
	// Fault returns the fault of the next transaction.
	Fault func() Fault
	// QueryFails reports whether the next Read, Scan or Range fails.
	QueryFails func() bool
	// Delay is called before a call takes effect, and for most calls also after it.
	Delay func()

	rows     map[key]wire.Row
	revision wire.Revision
	late     []wire.TransactRequest
	// era is the number of restores.
	era era.Era
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

// Read returns the rows with the given keys; keys without a row are left out.
func (t *Table) Read(_ context.Context, table string, keys ...string) ([]wire.Row, error) {
	rows, _, err := t.read(table, keys)
	return rows, err
}

// read returns rows and the era in which they were read.
func (t *Table) read(table string, keys []string) ([]wire.Row, era.Era, error) {
	t.Delay()
	e := t.era
	var rows []wire.Row
	for _, k := range keys {
		if r, ok := t.rows[key{table, k}]; ok {
			rows = append(rows, r)
		}
	}
	t.Delay()
	return rows, e, t.queryFault()
}

// Scan returns up to limit rows, in key order, whose keys start with prefix and are greater than after.
func (t *Table) Scan(_ context.Context, table, prefix, after string, limit int) ([]wire.Row, error) {
	t.Delay()
	rows := t.Rows(table, prefix)
	rows = slices.DeleteFunc(rows, func(r wire.Row) bool { return r.Key <= after })
	return rows[:min(limit, len(rows))], t.queryFault()
}

// Rows returns all rows of a table whose keys start with prefix, in key order. It is not subject to faults.
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

// Transact applies a transaction as Commit does, subject to Fault.
func (t *Table) Transact(_ context.Context, r wire.TransactRequest) (wire.TransactAnswer, error) {
	answer, _, err := t.transact(r)
	return answer, err
}

// transact applies a transaction and returns the era in which it took effect.
func (t *Table) transact(r wire.TransactRequest) (wire.TransactAnswer, era.Era, error) {
	t.Delay()
	fault := t.Fault()
	e := t.era
	var answer wire.TransactAnswer
	switch fault {
	case None, Lost:
		answer = t.Commit(r)
	case Late:
		t.late = append(t.late, r)
	}
	t.Delay()
	if fault != None {
		return wire.TransactAnswer{}, e, ErrFault
	}
	return answer, e, nil
}

// ApplyLate applies the oldest transaction with the fault Late that is still outstanding, if there is one.
func (t *Table) ApplyLate() {
	if len(t.late) == 0 {
		return
	}
	t.Commit(t.late[0])
	t.late = t.late[1:]
}

// Commit applies all writes of a transaction if all its checks hold. It is not subject to faults.
func (t *Table) Commit(r wire.TransactRequest) wire.TransactAnswer {
	answer := wire.TransactAnswer{Revision: t.revision}
	for _, c := range r.Checks {
		k := key{c.Table, c.Key}
		if t.rows[k].Revision != c.Revision {
			conflict := t.rows[k]
			conflict.Table, conflict.Key = c.Table, c.Key
			answer.Conflicts = append(answer.Conflicts, conflict)
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

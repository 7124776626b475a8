package main

import (
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"cowslipshunt.example/wire"
	"pgregory.net/rapid"
)

var (
	tableGen   = rapid.SampledFrom([]string{"t", "u"})
	keyGen     = rapid.SampledFrom([]string{"a", "a/1", "a/2", "ab", "b", "b/1"})
	prefixGen  = rapid.SampledFrom([]string{"", "a", "a/", "b", "c"})
	rowNameGen = rapid.Custom(func(t *rapid.T) rowName {
		return rowName{tableGen.Draw(t, "Table"), keyGen.Draw(t, "Key")}
	})
)

// tableModel is a model of the table service as a plain map, to compare its answers with.
type tableModel struct {
	f        *fixture
	rows     map[rowName]wire.Row
	revision wire.Revision
}

func (m *tableModel) row(n rowName) wire.Row {
	if row, ok := m.rows[n]; ok {
		return row
	}
	return wire.Row{Table: n.table, Key: n.key}
}

func (m *tableModel) requireEqual(t *rapid.T, what string, got, want any, err error) {
	if err != nil {
		t.Fatalf("%s: %v", what, err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("%s: got %+v, want %+v", what, got, want)
	}
}

func (m *tableModel) transact(t *rapid.T) {
	request := wire.TransactRequest{}
	want := wire.TransactAnswer{Committed: true, Conflicts: []wire.Row{}}
	for _, n := range rapid.SliceOfN(rowNameGen, 0, 3).Draw(t, "Checks") {
		row := m.row(n)
		revision := rapid.SampledFrom([]wire.Revision{row.Revision, row.Revision, 0, m.revision + 1}).Draw(t, "Revision")
		request.Checks = append(request.Checks, wire.Check{Table: n.table, Key: n.key, Revision: revision})
		if revision != row.Revision {
			want.Committed = false
			want.Conflicts = append(want.Conflicts, row)
		}
	}
	for _, n := range rapid.SliceOfNDistinct(rowNameGen, 0, 3, rapid.ID).Draw(t, "Writes") {
		value := []byte(rapid.StringN(0, 3, -1).Draw(t, "Value"))
		remove := rapid.Bool().Draw(t, "Delete")
		request.Writes = append(request.Writes, wire.Write{Table: n.table, Key: n.key, Value: value, Delete: remove})
	}
	if want.Committed {
		m.commit(request.Writes)
	}
	want.Revision = m.revision
	got, err := m.f.Transact(t.Context(), request)
	m.requireEqual(t, "transact", got, want, err)
}

func (m *tableModel) commit(writes []wire.Write) {
	m.revision++
	for _, w := range writes {
		n := rowName{w.Table, w.Key}
		if w.Delete {
			delete(m.rows, n)
			continue
		}
		m.rows[n] = wire.Row{Table: w.Table, Key: w.Key, Revision: m.revision, Value: w.Value}
	}
}

func (m *tableModel) read(t *rapid.T) {
	table := tableGen.Draw(t, "Table")
	keys := rapid.SliceOfN(keyGen, 0, 4).Draw(t, "Keys")
	want := []wire.Row{}
	for _, key := range keys {
		if row := m.row(rowName{table, key}); row.Revision > 0 {
			want = append(want, row)
		}
	}
	got, err := m.f.Read(t.Context(), table, keys...)
	m.requireEqual(t, "read", got, want, err)
}

func (m *tableModel) scan(t *rapid.T) {
	m.scanFor(t, tableGen.Draw(t, "Table"), prefixGen.Draw(t, "Prefix"),
		rapid.OneOf(rapid.Just(""), keyGen).Draw(t, "After"), rapid.IntRange(1, 4).Draw(t, "Limit"))
}

func (m *tableModel) scanFor(t *rapid.T, table, prefix, after string, limit int) {
	want := []wire.Row{}
	for n, row := range m.rows {
		if n.table == table && n.key > after && strings.HasPrefix(n.key, prefix) {
			want = append(want, row)
		}
	}
	slices.SortFunc(want, func(a, b wire.Row) int { return strings.Compare(a.Key, b.Key) })
	got, err := m.f.Scan(t.Context(), table, prefix, after, limit)
	m.requireEqual(t, "scan", got, want[:min(limit, len(want))], err)
}

// TestTableMatchesMapModel runs random sequences of transactions, reads and scans and compares every answer with the model.
func TestTableMatchesMapModel(t *testing.T) {
	f := newFixture(t)
	m := &tableModel{f: f}
	rapid.Check(t, func(rt *rapid.T) {
		m.clear(rt)
		checkAll := func(rt *rapid.T) {
			m.scanFor(rt, "t", "", "", len(m.rows)+1)
			m.scanFor(rt, "u", "", "", len(m.rows)+1)
		}
		rt.Repeat(map[string]func(*rapid.T){"transact": m.transact, "read": m.read, "scan": m.scan, "": checkAll})
	})
}

// clear deletes the rows that the previous test sequence left. The revision is not reset.
func (m *tableModel) clear(t *rapid.T) {
	request := wire.TransactRequest{}
	for n := range m.rows {
		request.Writes = append(request.Writes, wire.Write{Table: n.table, Key: n.key, Delete: true})
	}
	answer, err := m.f.Transact(t.Context(), request)
	m.requireEqual(t, "clear", answer.Committed, true, err)
	m.rows, m.revision = map[rowName]wire.Row{}, answer.Revision
}

// TestOneOfConcurrentTransactionsCommits has 8 writers create the same rows at once. Each row must be created by one of them.
func TestOneOfConcurrentTransactionsCommits(t *testing.T) {
	const writers, rounds = 8, 200
	table := NewTable()
	var committed atomic.Int32
	var wg sync.WaitGroup
	for range writers {
		wg.Go(func() {
			for i := range rounds {
				check := wire.Check{Table: "t", Key: strconv.Itoa(i + 1)}
				write := wire.Write{Table: "t", Key: check.Key}
				answer, err := table.Transact(wire.TransactRequest{Checks: []wire.Check{check}, Writes: []wire.Write{write}})
				if err == nil && answer.Committed {
					committed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	if committed.Load() != rounds {
		t.Errorf("%d transactions committed, want %d", committed.Load(), rounds)
	}
}

func TestTableRejectsInvalidCalls(t *testing.T) {
	f := newFixture(t)
	write := wire.Write{Table: "t", Key: "a"}
	_, duplicateWrite := f.Transact(t.Context(), wire.TransactRequest{Writes: []wire.Write{write, write}})
	_, missingKey := f.Transact(t.Context(), wire.TransactRequest{Checks: []wire.Check{{Table: "t"}}})
	_, missingLimit := f.Scan(t.Context(), "t", "", "", 0)
	_, missingTable := f.Read(t.Context(), "", "a")
	for i, err := range []error{duplicateWrite, missingKey, missingLimit, missingTable} {
		if status(err) != http.StatusBadRequest {
			t.Errorf("call %d: got %v", i, err)
		}
	}
}

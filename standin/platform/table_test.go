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
	drawTable  = rapid.SampledFrom([]string{"t", "u"})
	drawKey    = rapid.SampledFrom([]string{"a", "a/1", "a/2", "ab", "b", "b/1"})
	drawPrefix = rapid.SampledFrom([]string{"", "a", "a/", "b", "c"})
	drawName   = rapid.Custom(func(t *rapid.T) rowName {
		return rowName{drawTable.Draw(t, "Table"), drawKey.Draw(t, "Key")}
	})
)

// tableOracle is the table service as a plain map.
type tableOracle struct {
	f        *fixture
	rows     map[rowName]wire.Row
	revision wire.Revision
}

func (o *tableOracle) row(n rowName) wire.Row {
	if row, ok := o.rows[n]; ok {
		return row
	}
	return wire.Row{Table: n.table, Key: n.key}
}

func (o *tableOracle) same(t *rapid.T, what string, got, want any, err error) {
	if err != nil {
		t.Fatalf("%s: %v", what, err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("%s: got %+v, want %+v", what, got, want)
	}
}

func (o *tableOracle) transact(t *rapid.T) {
	request := wire.TransactRequest{}
	want := wire.TransactAnswer{Committed: true, Conflicts: []wire.Row{}}
	for _, n := range rapid.SliceOfN(drawName, 0, 3).Draw(t, "Checks") {
		row := o.row(n)
		revision := rapid.SampledFrom([]wire.Revision{row.Revision, row.Revision, 0, o.revision + 1}).Draw(t, "Revision")
		request.Checks = append(request.Checks, wire.Check{Table: n.table, Key: n.key, Revision: revision})
		if revision != row.Revision {
			want.Committed = false
			want.Conflicts = append(want.Conflicts, row)
		}
	}
	for _, n := range rapid.SliceOfNDistinct(drawName, 0, 3, rapid.ID).Draw(t, "Writes") {
		value := []byte(rapid.StringN(0, 3, -1).Draw(t, "Value"))
		remove := rapid.Bool().Draw(t, "Delete")
		request.Writes = append(request.Writes, wire.Write{Table: n.table, Key: n.key, Value: value, Delete: remove})
	}
	if want.Committed {
		o.commit(request.Writes)
	}
	want.Revision = o.revision
	got, err := o.f.Transact(t.Context(), request)
	o.same(t, "transact", got, want, err)
}

func (o *tableOracle) commit(writes []wire.Write) {
	o.revision++
	for _, w := range writes {
		n := rowName{w.Table, w.Key}
		if w.Delete {
			delete(o.rows, n)
			continue
		}
		o.rows[n] = wire.Row{Table: w.Table, Key: w.Key, Revision: o.revision, Value: w.Value}
	}
}

func (o *tableOracle) read(t *rapid.T) {
	table := drawTable.Draw(t, "Table")
	keys := rapid.SliceOfN(drawKey, 0, 4).Draw(t, "Keys")
	want := []wire.Row{}
	for _, key := range keys {
		if row := o.row(rowName{table, key}); row.Revision > 0 {
			want = append(want, row)
		}
	}
	got, err := o.f.Read(t.Context(), table, keys...)
	o.same(t, "read", got, want, err)
}

func (o *tableOracle) scan(t *rapid.T) {
	o.scanFor(t, drawTable.Draw(t, "Table"), drawPrefix.Draw(t, "Prefix"),
		rapid.OneOf(rapid.Just(""), drawKey).Draw(t, "After"), rapid.IntRange(1, 4).Draw(t, "Limit"))
}

func (o *tableOracle) scanFor(t *rapid.T, table, prefix, after string, limit int) {
	want := []wire.Row{}
	for n, row := range o.rows {
		if n.table == table && n.key > after && strings.HasPrefix(n.key, prefix) {
			want = append(want, row)
		}
	}
	slices.SortFunc(want, func(a, b wire.Row) int { return strings.Compare(a.Key, b.Key) })
	got, err := o.f.Scan(t.Context(), table, prefix, after, limit)
	o.same(t, "scan", got, want[:min(limit, len(want))], err)
}

func TestTableAgreesWithAMap(t *testing.T) {
	f := newFixture(t)
	o := &tableOracle{f: f}
	rapid.Check(t, func(rt *rapid.T) {
		o.clear(rt)
		whole := func(rt *rapid.T) {
			o.scanFor(rt, "t", "", "", len(o.rows)+1)
			o.scanFor(rt, "u", "", "", len(o.rows)+1)
		}
		rt.Repeat(map[string]func(*rapid.T){"transact": o.transact, "read": o.read, "scan": o.scan, "": whole})
	})
}

// clear deletes what the last sequence left; the revision goes on.
func (o *tableOracle) clear(t *rapid.T) {
	request := wire.TransactRequest{}
	for n := range o.rows {
		request.Writes = append(request.Writes, wire.Write{Table: n.table, Key: n.key, Delete: true})
	}
	answer, err := o.f.Transact(t.Context(), request)
	o.same(t, "clear", answer.Committed, true, err)
	o.rows, o.revision = map[rowName]wire.Row{}, answer.Revision
}

func TestOneOfManyTransactionsWins(t *testing.T) {
	const writers, rounds = 8, 200
	table := NewTable()
	var won atomic.Int32
	var wg sync.WaitGroup
	for range writers {
		wg.Go(func() {
			for i := range rounds {
				check := wire.Check{Table: "t", Key: strconv.Itoa(i + 1)}
				write := wire.Write{Table: "t", Key: check.Key}
				answer, err := table.Transact(wire.TransactRequest{Checks: []wire.Check{check}, Writes: []wire.Write{write}})
				if err == nil && answer.Committed {
					won.Add(1)
				}
			}
		})
	}
	wg.Wait()
	if won.Load() != rounds {
		t.Errorf("%d transactions won, want %d", won.Load(), rounds)
	}
}

func TestTableRefusesUnclearCalls(t *testing.T) {
	f := newFixture(t)
	write := wire.Write{Table: "t", Key: "a"}
	_, twice := f.Transact(t.Context(), wire.TransactRequest{Writes: []wire.Write{write, write}})
	_, nameless := f.Transact(t.Context(), wire.TransactRequest{Checks: []wire.Check{{Table: "t"}}})
	_, limitless := f.Scan(t.Context(), "t", "", "", 0)
	_, tableless := f.Read(t.Context(), "", "a")
	for i, err := range []error{twice, nameless, limitless, tableless} {
		if status(err) != http.StatusBadRequest {
			t.Errorf("call %d: got %v", i, err)
		}
	}
}

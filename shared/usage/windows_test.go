package usage_test

import (
	"context"
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
	"time"

	"cowslipshunt.example/shared/lease"
	"cowslipshunt.example/shared/tabletest"
	"cowslipshunt.example/shared/usage"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"
)

const (
	testTerm    = 3 * time.Second
	testTimeout = time.Second
	testLength  = 2 * time.Second
	// maxDepth bounds calls that are slow within slow calls of others.
	maxDepth = 2
)

// holder is one process that may hold the usage lease.
type holder struct {
	keeper  *lease.Keeper
	windows *usage.Windows
	paused  bool
	calling bool
}

// windowModel drives holders over one table. Its oracle is that a window is only ever reported with the same figures,
// and that all windows together are all usage.
type windowModel struct {
	t        *rapid.T
	clock    *clockwork.FakeClock
	table    *tabletest.Table
	holders  []*holder
	totals   []wire.UsageTotals
	reported map[int][]wire.UsageFigure
	late     []wire.UsageReport
	calm     bool
	depth    int
	dead     bool
	takers   map[wire.InstanceName]bool
}

func newWindowModel(t *rapid.T) *windowModel {
	m := &windowModel{
		t:        t,
		clock:    clockwork.NewFakeClock(),
		table:    tabletest.New(),
		reported: map[int][]wire.UsageFigure{},
		takers:   map[wire.InstanceName]bool{},
	}
	m.table.Fault = m.fault
	m.table.QueryFails = func() bool { return !m.calm && rapid.IntRange(0, 29).Draw(t, "query") == 0 }
	m.table.Delay = func() {
		if !m.calm && m.depth < maxDepth && rapid.IntRange(0, 39).Draw(t, "slow") == 0 {
			m.depth++
			m.run(rapid.IntRange(1, 8).Draw(t, "delay"))
			m.depth--
		}
	}
	for range 2 {
		m.start()
	}
	return m
}

func (m *windowModel) start() {
	name := fmt.Sprint(len(m.holders))
	self := lease.Identity{Instance: wire.InstanceName(name), Incarnation: wire.IncarnationId(name)}
	keeper := lease.NewKeeper(lease.Usage, self, m.table, lease.NewSystemClock(m.clock), lease.WithTerm(testTerm), lease.WithOrderTimeout(testTimeout))
	windows := usage.NewWindows(self.Instance, self.Incarnation, m.table, keeper, m, m.clock, usage.WithLength(testLength), usage.WithTimeout(testTimeout))
	m.holders = append(m.holders, &holder{keeper: keeper, windows: windows})
}

func (m *windowModel) fault() tabletest.Fault {
	if m.calm {
		return tabletest.None
	}
	faults := []tabletest.Fault{tabletest.Refused, tabletest.Lost, tabletest.Lost, tabletest.Late, tabletest.Late, tabletest.Late}
	if n := rapid.IntRange(0, 59).Draw(m.t, "fault"); n < len(faults) {
		return faults[n]
	}
	return tabletest.None
}

// ReportUsage takes a report with the same faults as the table's.
func (m *windowModel) ReportUsage(_ context.Context, r wire.UsageReport) error {
	fault := m.fault()
	switch fault {
	case tabletest.None, tabletest.Lost:
		m.receive(r)
	case tabletest.Late:
		m.late = append(m.late, r)
	}
	if fault != tabletest.None {
		return tabletest.ErrFault
	}
	return nil
}

func (m *windowModel) receive(r wire.UsageReport) {
	m.takers[r.Holder] = true
	if before, ok := m.reported[r.Window]; ok && !reflect.DeepEqual(before, r.Figures) {
		m.t.Fatalf("window %d was reported with %v, now with %v", r.Window, before, r.Figures)
	}
	m.reported[r.Window] = r.Figures
}

// run lets time go on and every running holder take its steps.
func (m *windowModel) run(steps int) {
	for range steps {
		m.clock.Advance(testTimeout / 2)
		if !m.calm && rapid.IntRange(0, 2).Draw(m.t, "used") == 0 {
			m.use()
		}
		for _, h := range m.holders {
			m.step(h)
		}
		if !m.calm && rapid.IntRange(0, 3).Draw(m.t, "late") == 0 {
			m.deliverLate()
		}
	}
}

// deliverLate lets the oldest late transaction and report arrive.
func (m *windowModel) deliverLate() {
	m.table.DeliverLate()
	if len(m.late) > 0 {
		m.receive(m.late[0])
		m.late = m.late[1:]
	}
}

func (m *windowModel) step(h *holder) {
	if h.paused || h.calling {
		return
	}
	h.calling = true
	_ = h.keeper.Step(m.t.Context())
	_ = h.windows.Step(m.t.Context())
	h.calling = false
}

// use raises an incarnation's totals and writes them as an entry would.
func (m *windowModel) use() {
	i := rapid.IntRange(0, min(len(m.totals), 2)).Draw(m.t, "incarnation")
	if i == 0 && m.dead {
		return
	}
	if i == len(m.totals) {
		m.totals = append(m.totals, wire.UsageTotals{Incarnation: wire.IncarnationId(fmt.Sprint(i))})
	}
	before := m.totals[i]
	f := wire.UsageFigure{Workspace: "w", Model: wire.ModelName(rapid.SampledFrom([]string{"a", "b"}).Draw(m.t, "model"))}
	figures := []wire.UsageFigure{f}
	for _, old := range before.Figures {
		if old.Model == f.Model {
			figures[0] = old
		} else {
			figures = append(figures, old)
		}
	}
	figures[0].Requests++
	figures[0].Cost += 7
	m.totals[i] = wire.UsageTotals{Incarnation: before.Incarnation, Sequence: before.Sequence + 1, Figures: figures}
	value, err := json.Marshal(wire.UsageRow{Totals: m.totals[i]})
	if err != nil {
		m.t.Fatal(err)
	}
	m.table.Commit(wire.TransactRequest{Writes: []wire.Write{{Table: usage.TotalsTable, Key: fmt.Sprint(i), Value: value}}})
}

// forget deletes the row of an incarnation that a window has counted whole, and that uses nothing any more.
func (m *windowModel) forget() {
	rows := m.table.Rows(usage.WindowTable, "")
	if len(rows) == 0 || len(m.totals) < 3 {
		return
	}
	var last wire.WindowRow
	if err := json.Unmarshal(rows[len(rows)-1].Value, &last); err != nil {
		m.t.Fatal(err)
	}
	if len(last.Totals) > 0 && reflect.DeepEqual(last.Totals[0], m.totals[0]) {
		m.dead = true
		m.table.Commit(wire.TransactRequest{Writes: []wire.Write{{Table: usage.TotalsTable, Key: "0", Delete: true}}})
	}
}

// finish ends all faults and compares what was reported with what was used.
func (m *windowModel) finish() {
	m.calm = true
	m.run(30)
	for _, r := range m.late {
		m.receive(r)
	}
	want := map[wire.ModelName]wire.UsageFigure{}
	for _, t := range m.totals {
		addFigures(want, t.Figures)
	}
	got := map[wire.ModelName]wire.UsageFigure{}
	for n := range len(m.reported) {
		addFigures(got, m.reported[n+1])
	}
	if !reflect.DeepEqual(got, want) {
		m.t.Fatalf("%d windows sum up to %v, used was %v", len(m.reported), got, want)
	}
}

func addFigures(sums map[wire.ModelName]wire.UsageFigure, figures []wire.UsageFigure) {
	for _, f := range figures {
		sum := sums[f.Model]
		sum.Workspace, sum.Model = f.Workspace, f.Model
		sum.Requests += f.Requests
		sum.Cost += f.Cost
		sums[f.Model] = sum
	}
}

func TestWindowsAreReportedWithOneSetOfFigures(t *testing.T) {
	most := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newWindowModel(t)
		pick := func() *holder { return m.holders[rapid.IntRange(0, len(m.holders)-1).Draw(t, "holder")] }
		t.Repeat(map[string]func(*rapid.T){
			"run":   func(t *rapid.T) { m.run(rapid.IntRange(1, 10).Draw(t, "steps")) },
			"use":   func(*rapid.T) { m.use() },
			"pause": func(*rapid.T) { pick().paused = true },
			"take over": func(*rapid.T) {
				for _, h := range m.holders {
					h.paused = h.keeper.Belief().Holds
				}
				m.run(14)
				pick().paused = false
			},
			"resume": func(*rapid.T) {
				pick().paused = false
			},
			"late":   func(*rapid.T) { m.deliverLate() },
			"forget": func(*rapid.T) { m.forget() },
		})
		for _, h := range m.holders {
			h.paused = false
		}
		m.finish()
		most = max(most, len(m.takers))
	})
	if most < 2 {
		t.Error("no run had reports from two holders")
	}
}

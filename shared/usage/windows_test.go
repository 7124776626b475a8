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
	// maxDelayDepth limits the nesting of delayed calls: other holders step, and may be delayed, during a delay.
	maxDelayDepth = 2
)

// holder is a process that may hold the usage lease.
type holder struct {
	keeper  *lease.Keeper
	windows *usage.Windows
	paused  bool
	// calling is true while a step waits for the table or the platform.
	calling bool
}

// windowModel runs several holders against one table with faults. It checks that every report of a window has the same
// figures, and that the figures of all windows sum up to the total usage.
type windowModel struct {
	t        *rapid.T
	clock    *clockwork.FakeClock
	table    *tabletest.Table
	holders  []*holder
	totals   []wire.UsageTotals
	reported map[int][]wire.UsageFigure
	late     []wire.UsageReport
	// faultsOff turns all faults and delays off.
	faultsOff  bool
	delayDepth int
	// rowDeleted means that the row of the first incarnation was deleted.
	rowDeleted bool
	reporters  map[wire.InstanceName]bool
}

func newWindowModel(t *rapid.T) *windowModel {
	m := &windowModel{
		t:         t,
		clock:     clockwork.NewFakeClock(),
		table:     tabletest.New(),
		reported:  map[int][]wire.UsageFigure{},
		reporters: map[wire.InstanceName]bool{},
	}
	m.table.Fault = m.fault
	m.table.QueryFails = func() bool { return !m.faultsOff && rapid.IntRange(0, 29).Draw(t, "query") == 0 }
	m.table.Delay = func() {
		if !m.faultsOff && m.delayDepth < maxDelayDepth && rapid.IntRange(0, 39).Draw(t, "slow") == 0 {
			m.delayDepth++
			m.run(rapid.IntRange(1, 8).Draw(t, "delay"))
			m.delayDepth--
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
	if m.faultsOff {
		return tabletest.None
	}
	faults := []tabletest.Fault{tabletest.Refused, tabletest.Lost, tabletest.Lost, tabletest.Late, tabletest.Late, tabletest.Late}
	if n := rapid.IntRange(0, 59).Draw(m.t, "fault"); n < len(faults) {
		return faults[n]
	}
	return tabletest.None
}

// ReportUsage receives a report, subject to the same faults as the table.
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
	m.reporters[r.Holder] = true
	if earlier, ok := m.reported[r.Window]; ok && !reflect.DeepEqual(earlier, r.Figures) {
		m.t.Fatalf("window %d was reported with %v, now with %v", r.Window, earlier, r.Figures)
	}
	m.reported[r.Window] = r.Figures
}

// run advances the clock and steps every holder that is not paused, the given number of times.
func (m *windowModel) run(steps int) {
	for range steps {
		m.clock.Advance(testTimeout / 2)
		if !m.faultsOff && rapid.IntRange(0, 2).Draw(m.t, "used") == 0 {
			m.addUsage()
		}
		for _, h := range m.holders {
			m.step(h)
		}
		if !m.faultsOff && rapid.IntRange(0, 3).Draw(m.t, "late") == 0 {
			m.deliverLate()
		}
	}
}

// deliverLate delivers the oldest delayed transaction and the oldest delayed report.
func (m *windowModel) deliverLate() {
	m.table.ApplyLate()
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

// addUsage increases an incarnation's totals and writes its row as an entry does.
func (m *windowModel) addUsage() {
	i := rapid.IntRange(0, min(len(m.totals), 2)).Draw(m.t, "incarnation")
	if i == 0 && m.rowDeleted {
		return
	}
	if i == len(m.totals) {
		m.totals = append(m.totals, wire.UsageTotals{Incarnation: wire.IncarnationId(fmt.Sprint(i))})
	}
	old := m.totals[i]
	f := wire.UsageFigure{Workspace: "w", Model: wire.ModelName(rapid.SampledFrom([]string{"a", "b"}).Draw(m.t, "model"))}
	figures := []wire.UsageFigure{f}
	for _, g := range old.Figures {
		if g.Model == f.Model {
			figures[0] = g
		} else {
			figures = append(figures, g)
		}
	}
	figures[0].Requests++
	figures[0].Cost += 7
	m.totals[i] = wire.UsageTotals{Incarnation: old.Incarnation, Sequence: old.Sequence + 1, Figures: figures}
	value, err := json.Marshal(wire.UsageRow{Totals: m.totals[i]})
	if err != nil {
		m.t.Fatal(err)
	}
	m.table.Commit(wire.TransactRequest{Writes: []wire.Write{{Table: usage.TotalsTable, Key: fmt.Sprint(i), Value: value}}})
}

// deleteRow deletes the row of the first incarnation if the last window includes all of its usage. That incarnation adds no
// usage afterwards.
func (m *windowModel) deleteRow() {
	rows := m.table.Rows(usage.WindowTable, "")
	if len(rows) == 0 || len(m.totals) < 3 {
		return
	}
	var last wire.WindowRow
	if err := json.Unmarshal(rows[len(rows)-1].Value, &last); err != nil {
		m.t.Fatal(err)
	}
	if len(last.Totals) > 0 && reflect.DeepEqual(last.Totals[0], m.totals[0]) {
		m.rowDeleted = true
		m.table.Commit(wire.TransactRequest{Writes: []wire.Write{{Table: usage.TotalsTable, Key: "0", Delete: true}}})
	}
}

// finish turns faults off, lets all windows be reported and compares the reported figures with the usage.
func (m *windowModel) finish() {
	m.faultsOff = true
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
		m.t.Fatalf("%d windows sum up to %v, want %v", len(m.reported), got, want)
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
	maxReporters := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newWindowModel(t)
		anyHolder := func() *holder { return m.holders[rapid.IntRange(0, len(m.holders)-1).Draw(t, "holder")] }
		t.Repeat(map[string]func(*rapid.T){
			"run":   func(t *rapid.T) { m.run(rapid.IntRange(1, 10).Draw(t, "steps")) },
			"use":   func(*rapid.T) { m.addUsage() },
			"pause": func(*rapid.T) { anyHolder().paused = true },
			"take over": func(*rapid.T) {
				for _, h := range m.holders {
					h.paused = h.keeper.Belief().Holds
				}
				m.run(14)
				anyHolder().paused = false
			},
			"resume": func(*rapid.T) {
				anyHolder().paused = false
			},
			"late":       func(*rapid.T) { m.deliverLate() },
			"delete row": func(*rapid.T) { m.deleteRow() },
		})
		for _, h := range m.holders {
			h.paused = false
		}
		m.finish()
		maxReporters = max(maxReporters, len(m.reporters))
	})
	if maxReporters < 2 {
		t.Error("no run had reports from more than one holder")
	}
}

package metering_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"testing"
	"time"

	"cowslipshunt.example/serving/metering"
	"cowslipshunt.example/shared/lease"
	"cowslipshunt.example/shared/tabletest"
	"cowslipshunt.example/wire"
	"pgregory.net/rapid"
)

// Bounds of these tests: how long after its end a window is frozen, and after what silence an instance is gone.
const (
	settle = 5 * time.Second
	gone   = 8 * time.Second
)

// clock is the agreed time and every instance's steady clock.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time           { return c.now }
func (c *clock) Monotonic() time.Duration { return c.now.Sub(time.Unix(0, 0)) }
func (c *clock) Wall() time.Time          { return c.now }

// platform takes reports and is the oracle: a window has one set of counts.
type platform struct {
	t       *rapid.T
	fails   func() bool
	reports map[metering.Window]metering.Counts
	highest wire.Epoch
}

func (p *platform) ReportUsage(_ context.Context, epoch wire.Epoch, w metering.Window, counts metering.Counts) error {
	if epoch < p.highest {
		p.t.Fatalf("a report under epoch %d came after one under %d", epoch, p.highest)
	}
	p.highest = epoch
	if before, known := p.reports[w]; known && !maps.Equal(before, counts) {
		p.t.Fatalf("window %d was reported as %v and as %v", w, before, counts)
	}
	p.reports[w] = counts
	if p.fails() {
		return errors.New("the answer was lost")
	}
	return nil
}

// instance is one process with its counts and its part in the duties.
type instance struct {
	instance wire.InstanceName
	name     wire.IncarnationId
	counter  *metering.Counter
	keeper   *lease.Keeper
	reporter *metering.Reporter
	handoffs *metering.Handoffs
	writer   *metering.Writer
	model    *usageModel
}

// HandOff delivers copies to the other instances.
func (i *instance) HandOff(list []metering.Handoff) {
	for _, other := range i.model.instances {
		if other != i {
			for _, x := range list {
				other.handoffs.Take(x, i.model.clock.now)
			}
		}
	}
}

// usageModel drives instances that count, write, report and get killed.
type usageModel struct {
	t         *rapid.T
	clock     *clock
	table     *tabletest.Table
	platform  *platform
	instances []*instance
	started   int
	calm      bool
	// down is set while the store takes no call.
	down bool
	// truth is what began, late what the reporters found too late to report.
	truth map[metering.Window]int
	late  map[metering.Window]int
}

func newUsageModel(t *rapid.T) *usageModel {
	m := &usageModel{t: t, clock: &clock{now: time.Unix(1e9, 0)}, table: tabletest.New(), truth: map[metering.Window]int{}, late: map[metering.Window]int{}}
	m.table.Fault = m.fault
	m.table.QueryFails = func() bool { return m.down || !m.calm && rapid.IntRange(0, 19).Draw(t, "query") == 0 }
	m.platform = &platform{t: t, reports: map[metering.Window]metering.Counts{}}
	m.platform.fails = func() bool { return !m.calm && rapid.IntRange(0, 3).Draw(t, "report") == 0 }
	for range 3 {
		m.instances = append(m.instances, m.start(len(m.instances)))
	}
	return m
}

func (m *usageModel) fault() tabletest.Fault {
	if m.down {
		return tabletest.Refused
	}
	if m.calm {
		return tabletest.None
	}
	return rapid.SampledFrom([]tabletest.Fault{tabletest.None, tabletest.None, tabletest.None, tabletest.Refused, tabletest.Lost, tabletest.Late}).Draw(m.t, "fault")
}

func (m *usageModel) start(n int) *instance {
	m.started++
	i := &instance{instance: wire.InstanceName(fmt.Sprint("machine", n)), name: wire.IncarnationId(fmt.Sprint(m.started)), model: m}
	i.counter = metering.NewCounter(length, m.clock.Now)
	self := lease.Identity{Instance: i.instance, Incarnation: i.name}
	i.keeper = lease.NewKeeper("duties", self, m.table, m.clock)
	i.reporter = metering.NewReporter(m.table, i.keeper, m.platform, i.counter, metering.Bounds{Settle: settle, Gone: gone},
		metering.WithLate(func(w metering.Window, c metering.Counts) { m.late[w] += c["w"] }))
	i.handoffs = metering.NewHandoffs(i.name)
	i.writer = metering.NewWriter(m.table, i.counter, i.handoffs, i, i.instance, i.name)
	return i
}

func (m *usageModel) began(i *instance) {
	i.counter.Began("w")
	m.truth[i.counter.At(m.clock.now)]++
}

func (m *usageModel) step(i *instance) {
	_, _ = i.writer.Step(m.t.Context(), m.clock.now)
	_ = i.keeper.Step(m.t.Context())
	_ = i.reporter.Step(m.t.Context())
}

// kill starts a new incarnation in place of one; what that had not written is lost.
func (m *usageModel) kill(n int) {
	m.instances[n] = m.start(n)
}

// stop ends an incarnation in order and starts a new one in its place.
func (m *usageModel) stop(n int) {
	_ = m.instances[n].writer.Close(m.t.Context(), m.clock.now)
	m.kill(n)
}

func (m *usageModel) run(d time.Duration) {
	for range int(d / (500 * time.Millisecond)) {
		m.clock.now = m.clock.now.Add(500 * time.Millisecond)
		for _, i := range m.instances {
			m.step(i)
		}
	}
}

func TestEachWindowHasOneSetOfCountsUnderKillsAndLostAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newUsageModel(t)
		pick := func() int { return rapid.IntRange(0, len(m.instances)-1).Draw(t, "instance") }
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) {},
			"began": func(*rapid.T) {
				i := m.instances[pick()]
				for range rapid.IntRange(1, 5).Draw(t, "requests") {
					m.began(i)
				}
			},
			"run":  func(*rapid.T) { m.run(time.Duration(rapid.IntRange(1, 4).Draw(t, "seconds")) * time.Second) },
			"late": func(*rapid.T) { m.table.DeliverLate() },
			"kill": func(*rapid.T) { m.kill(pick()) },
			"stop": func(*rapid.T) { m.stop(pick()) },
			"down": func(*rapid.T) { m.down = !m.down },
		})
		m.calm, m.down = true, false
		m.run(30 * time.Second)
		m.checkAllReported()
	})
}

// checkAllReported holds the reports and what was found too late to what began, and demands that no counts are left over.
func (m *usageModel) checkAllReported() {
	for w, n := range m.truth {
		if got := m.platform.reports[w]["w"]; got > n {
			m.t.Fatalf("window %d was reported with %d requests of %d", w, got, n)
		}
	}
	last := m.instances[0].counter.At(m.clock.now.Add(-settle)) - 1
	for _, row := range m.table.Rows(metering.CountTable, "") {
		if row.Key < fmt.Sprintf("%012d", last) {
			m.t.Fatalf("counts %s were neither reported nor found late; %d windows were", row.Key, len(m.platform.reports))
		}
	}
}

// TestCalmWindowsAreReportedInFull is the oracle without faults: nothing is missing.
func TestCalmWindowsAreReportedInFull(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newUsageModel(t)
		m.calm = true
		m.run(10 * time.Second)
		for range rapid.IntRange(1, 20).Draw(t, "seconds") {
			for _, i := range m.instances {
				for range rapid.IntRange(0, 3).Draw(t, "requests") {
					m.began(i)
				}
			}
			m.run(time.Second)
		}
		m.run(length + settle + 2*time.Second)
		for w, n := range m.truth {
			if got := m.platform.reports[w]["w"]; got != n {
				t.Fatalf("window %d was reported with %d requests of %d", w, got, n)
			}
		}
		if rows := m.table.Rows(metering.CountTable, ""); len(rows) > 6 {
			t.Errorf("%d rows of counts are left", len(rows))
		}
	})
}

// TestInstanceThatIsGoneHoldsUpNoLaterWindow loses one of three instances for good. The window after the one in which it fell
// silent must not wait for it: a store that fails before the wait is over would make the report late.
func TestInstanceThatIsGoneHoldsUpNoLaterWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newUsageModel(t)
		m.calm = true
		began := func(list []*instance, d time.Duration) {
			for range int(d / time.Second) {
				for _, i := range list {
					m.began(i)
				}
				m.run(time.Second)
			}
		}
		silent := time.Duration(rapid.IntRange(0, 4).Draw(t, "silent")) * time.Second
		began(m.instances, 2*length+silent)
		lost := m.instances[0].counter.At(m.clock.now)
		m.instances = m.instances[1:]
		end := m.instances[0].counter.End(lost + 1)
		began(m.instances, end.Sub(m.clock.now)+2*time.Second)
		m.clock.now = end.Add(settle - 2*time.Second)
		m.run(time.Second)
		if _, reported := m.platform.reports[lost+1]; !reported {
			t.Errorf("window %d waits for an instance that fell silent in window %d; reported are %v", lost+1, lost, m.platform.reports)
		}
	})
}

// TestCountsOfManyInstancesAreNotFoundLate is a large deployment: its windows sum up more rows than one transaction removes.
func TestCountsOfManyInstancesAreNotFoundLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newUsageModel(t)
		m.calm = true
		for range rapid.IntRange(60, 150).Draw(t, "more") {
			m.instances = append(m.instances, m.start(len(m.instances)))
		}
		for range 3 {
			for _, i := range m.instances {
				m.began(i)
			}
			m.run(length)
		}
		m.run(2*length + settle)
		if len(m.late) > 0 {
			t.Errorf("counts %v of %d instances were found late", m.late, len(m.instances))
		}
	})
}

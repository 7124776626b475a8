package metering_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"cowslipshunt.example/serving/clearance"
	"cowslipshunt.example/serving/metering"
	"cowslipshunt.example/shared/lease"
	"cowslipshunt.example/shared/tabletest"
	"cowslipshunt.example/wire"
	"pgregory.net/rapid"
)

// The reporters' Bounds in these tests.
const (
	settle = 5 * time.Second
	gone   = 8 * time.Second
)

// clock is the agreed time and the monotonic clock of all instances.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time           { return c.now }
func (c *clock) Monotonic() time.Duration { return c.now.Sub(time.Unix(0, 0)) }
func (c *clock) Wall() time.Time          { return c.now }

// platform receives the reports and is the oracle: it fails the test if a window is reported with different counts, or an older
// epoch after a newer one.
type platform struct {
	t       *rapid.T
	fails   func() bool
	reports map[metering.Window]metering.Counts
	highest wire.Epoch
}

func (p *platform) ReportUsage(_ context.Context, epoch wire.Epoch, w metering.Window, counts metering.Counts) error {
	if epoch < p.highest {
		p.t.Fatalf("a report under epoch %d arrived after one under epoch %d", epoch, p.highest)
	}
	p.highest = epoch
	if before, known := p.reports[w]; known && !maps.Equal(before, counts) {
		p.t.Fatalf("window %d was reported with counts %v and then %v", w, before, counts)
	}
	p.reports[w] = counts
	if p.fails() {
		return errors.New("the answer was lost")
	}
	return nil
}

// instance is one incarnation of an instance that counts requests, and competes for the lease to report them.
type instance struct {
	name        wire.InstanceName
	incarnation wire.IncarnationId
	counter     *metering.Counter
	keeper      *lease.Keeper
	reporter    *metering.Reporter
	handoffs    *metering.Handoffs
	writer      *metering.Writer
	// nextWrite is when the next call of writer.Step is due.
	nextWrite time.Time
	// client is the instance's client of a table that may be restored, or nil; copies are its copies of frozen windows.
	client *tabletest.Client
	copies *metering.FrozenCopies
	ledger *clearance.Ledger
	// cutOff makes all of the instance's calls to the store fail.
	cutOff bool
	model  *usageModel
}

// Range reads from the table of the model unless the instance is cut off.
func (i *instance) Range(ctx context.Context, table, from, to string) ([]wire.Row, error) {
	if i.cutOff {
		return nil, tabletest.ErrFault
	}
	if i.client != nil {
		return i.client.Range(ctx, table, from, to)
	}
	return i.model.table.Range(ctx, table, from, to)
}

// Read reads from the table of the model unless the instance is cut off.
func (i *instance) Read(ctx context.Context, table string, keys ...string) ([]wire.Row, error) {
	if i.cutOff {
		return nil, tabletest.ErrFault
	}
	if i.client != nil {
		return i.client.Read(ctx, table, keys...)
	}
	return i.model.table.Read(ctx, table, keys...)
}

// Transact writes to the table of the model unless the instance is cut off.
func (i *instance) Transact(ctx context.Context, r wire.TransactRequest) (wire.TransactAnswer, error) {
	if i.cutOff {
		return wire.TransactAnswer{}, tabletest.ErrFault
	}
	if i.client != nil {
		return i.client.Transact(ctx, r)
	}
	return i.model.table.Transact(ctx, r)
}

// HandOff delivers hand-offs to the other instances.
func (i *instance) HandOff(list []metering.Handoff) {
	for _, other := range i.model.instances {
		if other != i {
			for _, x := range list {
				if lost := i.model.losesDatagram; lost == nil || !lost() {
					other.handoffs.Keep(x, i.model.clock.now)
				}
			}
		}
	}
}

// usageModel runs instances that count, write, report, stop and get killed.
type usageModel struct {
	t         *rapid.T
	clock     *clock
	table     *tabletest.Table
	platform  *platform
	instances []*instance
	started   int
	// faultless turns off the random faults of the store and the platform.
	faultless bool
	// storeDown makes the store reject every call.
	storeDown bool
	// restorable is set if the table may be restored from a backup.
	restorable bool
	// bounds are those of the reporters.
	bounds metering.Bounds
	// writeInterval is the interval of the calls of Writer.Step; between them, counts are copied to the peers.
	writeInterval time.Duration
	// silentRestarts is set if the others do not hear of the new incarnation of a killed instance.
	silentRestarts bool
	// losesDatagram decides for each hand-off whether it is lost on the way to a peer; nil loses none.
	losesDatagram func() bool
	// begun counts the requests that began, late those that reporters found too late to report.
	begun map[metering.Window]int
	late  map[metering.Window]int
	// withheld counts the windows that reporters withheld.
	withheld int
}

func newUsageModel(t *rapid.T) *usageModel {
	return newUsageModelWithBounds(t, metering.Bounds{FreezeDelay: settle, GoneTimeout: gone})
}

func newUsageModelWithBounds(t *rapid.T, b metering.Bounds) *usageModel {
	m := &usageModel{t: t, bounds: b, clock: &clock{now: time.Unix(1e9, 0)}, table: tabletest.New(), begun: map[metering.Window]int{}, late: map[metering.Window]int{}}
	m.table.Fault = m.fault
	m.table.QueryFails = func() bool { return m.storeDown || !m.faultless && rapid.IntRange(0, 19).Draw(t, "query") == 0 }
	m.platform = &platform{t: t, reports: map[metering.Window]metering.Counts{}}
	m.platform.fails = func() bool { return !m.faultless && rapid.IntRange(0, 3).Draw(t, "report") == 0 }
	for range 3 {
		m.instances = append(m.instances, m.start(len(m.instances)))
	}
	return m
}

func (m *usageModel) fault() tabletest.Fault {
	if m.storeDown {
		return tabletest.Refused
	}
	if m.faultless {
		return tabletest.None
	}
	return rapid.SampledFrom([]tabletest.Fault{tabletest.None, tabletest.None, tabletest.None, tabletest.Refused, tabletest.Lost, tabletest.Late}).Draw(m.t, "fault")
}

func (m *usageModel) start(n int) *instance {
	m.started++
	i := &instance{name: wire.InstanceName(fmt.Sprint("machine", n)), incarnation: wire.IncarnationId(fmt.Sprint(m.started)), model: m}
	i.counter = metering.NewCounter(windowLength, m.clock.Now)
	if m.restorable {
		m.startRestorable(i)
		return i
	}
	self := lease.Identity{Instance: i.name, Incarnation: i.incarnation}
	i.keeper = lease.NewKeeper("duties", self, i, m.clock)
	i.reporter = metering.NewReporter(i, i.keeper, m.platform, i.counter, m.bounds,
		metering.WithLate(func(w metering.Window, c metering.Counts) { m.late[w] += c["w"] }))
	i.handoffs = metering.NewHandoffs(i.incarnation)
	i.writer = metering.NewWriter(i, i.counter, i.handoffs, i, i.name, i.incarnation)
	return i
}

func (m *usageModel) began(i *instance) {
	i.counter.Began("w")
	m.begun[i.counter.At(m.clock.now)]++
}

func (m *usageModel) step(i *instance) {
	if m.clock.now.Before(i.nextWrite) {
		_, _ = i.writer.Copy(m.t.Context(), m.clock.now)
	} else {
		i.nextWrite = m.clock.now.Add(m.writeInterval)
		_, _ = i.writer.Step(m.t.Context(), m.clock.now)
	}
	_ = i.keeper.Step(m.t.Context())
	_ = i.reporter.Step(m.t.Context())
}

// kill replaces an incarnation with a new one, of which the others hear. Counts that the old one had neither written nor copied are lost.
func (m *usageModel) kill(n int) {
	m.instances[n] = m.start(n)
	if !m.silentRestarts {
		m.heard(m.instances[n])
	}
}

// heard lets the others hear of a new incarnation.
func (m *usageModel) heard(started *instance) {
	for _, i := range m.instances {
		i.handoffs.SetIncarnation(started.name, started.incarnation)
		if m.restorable && i != started {
			i.sendCopies([]*instance{started})
		}
	}
}

// shutDown ends an incarnation gracefully.
func (m *usageModel) shutDown(i *instance) {
	_ = i.keeper.Release(m.t.Context())
	_ = i.writer.Close(m.t.Context(), m.clock.now)
	if m.restorable {
		i.ledger.PledgeAtRelease()
		i.sendCopies(m.instances)
	}
}

// stop shuts an incarnation down gracefully and replaces it with a new one.
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

// checkAllReported checks that no window was reported with more requests than began, and that no counts of settled windows remain
// in the store.
func (m *usageModel) checkAllReported() {
	for w, n := range m.begun {
		if got := m.platform.reports[w]["w"]; got > n {
			m.t.Fatalf("window %d was reported with %d requests of %d", w, got, n)
		}
	}
	last := m.instances[0].counter.At(m.clock.now.Add(-settle)) - 1
	for _, row := range m.table.Rows(metering.CountTable, "") {
		if row.Key < fmt.Sprintf("%012d", last) {
			m.t.Fatalf("counts %s were neither reported nor found late; %d windows were reported", row.Key, len(m.platform.reports))
		}
	}
}

package order_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"cowslipshunt.example/shared/lease"
	"cowslipshunt.example/shared/order"
	"cowslipshunt.example/shared/tabletest"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"
)

const (
	testTerm    = 3 * time.Second
	testTimeout = time.Second
)

// engine accepts orders as an engine must: an order id that it received before is not executed again.
type engine struct {
	state   wire.EngineState
	answers map[wire.OrderId]wire.EngineOrderAnswer
	// outstanding holds the orders that were sent to the engine and are not done.
	outstanding map[wire.OrderId]bool
}

func (e *engine) receive(o wire.EngineOrder) wire.EngineOrderAnswer {
	answer, repeated := e.answers[o.Order]
	if repeated {
		return answer
	}
	answer = wire.EngineOrderAnswer{Order: o.Order, Accepted: !e.state.ChecksFencing || o.Epoch >= e.state.Epoch}
	e.answers[o.Order] = answer
	if answer.Accepted {
		e.state.Epoch = max(e.state.Epoch, o.Epoch)
		e.state.LastOrder, e.state.LastOrderDone = o.Order, false
		e.state.ModelVersion = o.ModelVersion
	}
	return answer
}

// finishLast completes the engine's last order.
func (e *engine) finishLast() {
	if e.state.LastOrder != "" {
		e.state.Model, e.state.LastOrderDone = "m", true
		delete(e.outstanding, e.state.LastOrder)
	}
}

// holder is a process that may hold the domain's lease.
type holder struct {
	name   wire.InstanceName
	keeper *lease.Keeper
	book   *order.Book
	paused bool
	// calling is true while a step waits for the table or an engine.
	calling bool
}

// orderModel runs several holders that order engines to load the wanted model version, with faults. It checks that no engine
// ever has two different orders outstanding, and that only the holder of the lease sends orders.
type orderModel struct {
	t       *rapid.T
	clock   *clockwork.FakeClock
	table   *tabletest.Table
	holders []*holder
	engines map[wire.EndpointId]*engine
	wanted  wire.ModelVersion
	// late holds the deliveries of delayed orders.
	late []func()
	// faultsOff turns all faults and delays off.
	faultsOff bool
	senders   map[wire.InstanceName]bool
}

func newOrderModel(t *rapid.T) *orderModel {
	m := &orderModel{
		t:       t,
		clock:   clockwork.NewFakeClock(),
		table:   tabletest.New(),
		engines: map[wire.EndpointId]*engine{},
		wanted:  "1",
		senders: map[wire.InstanceName]bool{},
	}
	m.table.Fault = m.fault
	m.table.QueryFails = func() bool { return !m.faultsOff && rapid.IntRange(0, 29).Draw(t, "query") == 0 }
	m.table.Delay = m.delay
	for i := range 2 {
		id := wire.EndpointId(fmt.Sprint("e", i))
		m.engines[id] = &engine{answers: map[wire.OrderId]wire.EngineOrderAnswer{}, outstanding: map[wire.OrderId]bool{}}
		m.engines[id].state = wire.EngineState{Endpoint: id, ChecksFencing: i == 0}
		m.start(fmt.Sprint(i))
	}
	return m
}

func (m *orderModel) start(name string) {
	self := lease.Identity{Instance: wire.InstanceName(name), Incarnation: wire.IncarnationId(name)}
	keeper := lease.NewKeeper(lease.Domain("d"), self, m.table, lease.NewSystemClock(m.clock), lease.WithTerm(testTerm), lease.WithOrderTimeout(testTimeout))
	book := order.NewBook("d", self.Instance, self.Incarnation, m.table, keeper, m.clock, order.WithTimeout(testTimeout))
	m.holders = append(m.holders, &holder{name: self.Instance, keeper: keeper, book: book})
}

func (m *orderModel) fault() tabletest.Fault {
	if m.faultsOff {
		return tabletest.None
	}
	faults := []tabletest.Fault{tabletest.Refused, tabletest.Lost, tabletest.Lost, tabletest.Late, tabletest.Late}
	if n := rapid.IntRange(0, 59).Draw(m.t, "fault"); n < len(faults) {
		return faults[n]
	}
	return tabletest.None
}

func (m *orderModel) delay() {
	if !m.faultsOff && rapid.IntRange(0, 11).Draw(m.t, "slow") == 0 {
		m.run(rapid.IntRange(1, 12).Draw(m.t, "delay"))
	}
}

// OrderEngine delivers an order to an engine, possibly long after its sender's timeout.
func (m *orderModel) OrderEngine(_ context.Context, address string, o wire.EngineOrder) (wire.EngineOrderAnswer, error) {
	e := m.engines[wire.EndpointId(address)]
	m.senders[o.Holder] = true
	m.checkSender(o.Holder)
	if _, answered := e.answers[o.Order]; !answered {
		e.outstanding[o.Order] = true
	}
	if len(e.outstanding) > 1 {
		m.t.Fatalf("%s has two different orders outstanding: %v", address, e.outstanding)
	}
	m.delay()
	fault := m.fault()
	var answer wire.EngineOrderAnswer
	switch fault {
	case tabletest.None, tabletest.Lost:
		answer = e.receive(o)
	case tabletest.Late:
		m.late = append(m.late, func() { e.receive(o) })
	}
	if fault != tabletest.None {
		return wire.EngineOrderAnswer{}, tabletest.ErrFault
	}
	return answer, nil
}

func (m *orderModel) checkSender(name wire.InstanceName) {
	for _, h := range m.holders {
		if h.name == name && !h.keeper.Belief().Holds {
			m.t.Fatalf("%s sent an order without holding the lease", name)
		}
	}
}

// OrderEndpoints always fails: these tests send no orders to the platform.
func (m *orderModel) OrderEndpoints(context.Context, wire.EndpointOrder) (wire.EndpointOrderAnswer, error) {
	return wire.EndpointOrderAnswer{}, tabletest.ErrFault
}

// run advances the clock and steps every holder that is not paused, the given number of times.
func (m *orderModel) run(steps int) {
	for range steps {
		m.clock.Advance(testTimeout / 2)
		for _, h := range m.holders {
			m.step(h)
		}
		if m.faultsOff || rapid.IntRange(0, 2).Draw(m.t, "finish") == 0 {
			m.finishOrders()
		}
		if !m.faultsOff && rapid.IntRange(0, 3).Draw(m.t, "late") == 0 {
			m.deliverLate()
		}
	}
}

func (m *orderModel) finishOrders() {
	m.engines["e0"].finishLast()
	m.engines["e1"].finishLast()
}

// deliverLate delivers the oldest delayed transaction and the oldest delayed order.
func (m *orderModel) deliverLate() {
	m.table.ApplyLate()
	if len(m.late) > 0 {
		deliver := m.late[0]
		m.late = m.late[1:]
		deliver()
	}
}

func (m *orderModel) step(h *holder) {
	if h.paused || h.calling {
		return
	}
	h.calling = true
	defer func() { h.calling = false }()
	_ = h.keeper.Step(m.t.Context())
	if h.book.Load(m.t.Context()) != nil {
		return
	}
	views := map[wire.EndpointId]order.EndpointView{}
	for id, e := range m.engines {
		views[id] = order.EndpointView{Address: string(id), StateKnown: true, State: e.state, Drained: true}
	}
	h.book.Step(m.t.Context(), views, m)
	for _, id := range []wire.EndpointId{"e0", "e1"} {
		if views[id].State.ModelVersion != m.wanted {
			row := wire.OrderRow{Endpoint: id, Action: wire.EngineActionLoadModel, Model: "m", ModelVersion: m.wanted}
			_, _ = h.book.Begin(m.t.Context(), row, 1)
		}
	}
}

// finish turns faults off and checks that every engine ends with the wanted version.
func (m *orderModel) finish() {
	m.faultsOff = true
	for _, h := range m.holders {
		h.paused = false
	}
	m.run(40)
	for id, e := range m.engines {
		if e.state.ModelVersion != m.wanted || !e.state.LastOrderDone {
			m.t.Fatalf("%s ended in state %+v, want version %s", id, e.state, m.wanted)
		}
	}
	m.checkAuditTrail()
}

// checkAuditTrail checks that the audit trail has two entries for each order: one for its beginning and one for its end.
func (m *orderModel) checkAuditTrail() {
	orders, audits := m.table.Rows(order.TableName, ""), m.table.Rows(order.AuditTable, "")
	if len(audits) != 2*len(orders) {
		m.t.Fatalf("got %d audit entries for %d settled orders, want two for each", len(audits), len(orders))
	}
}

func TestNoEngineHasTwoDifferentOrdersOutstanding(t *testing.T) {
	maxSenders := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newOrderModel(t)
		anyHolder := func() *holder { return m.holders[rapid.IntRange(0, len(m.holders)-1).Draw(t, "holder")] }
		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) { m.run(rapid.IntRange(1, 10).Draw(t, "steps")) },
			"want": func(t *rapid.T) {
				m.wanted = wire.ModelVersion(fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "version")))
			},
			"pause":  func(*rapid.T) { anyHolder().paused = true },
			"resume": func(*rapid.T) { anyHolder().paused = false },
			"take over": func(*rapid.T) {
				for _, h := range m.holders {
					h.paused = h.keeper.Belief().Holds
				}
				m.run(14)
				anyHolder().paused = false
			},
			"late": func(*rapid.T) { m.deliverLate() },
		})
		m.finish()
		maxSenders = max(maxSenders, len(m.senders))
	})
	if maxSenders < 2 {
		t.Error("no run had orders from more than one holder")
	}
}

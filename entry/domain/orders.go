package domain

import (
	"context"
	"fmt"
	"time"

	"cowslipshunt.example/shared/fleet"
	"cowslipshunt.example/shared/order"
	"cowslipshunt.example/wire"
	"github.com/VictoriaMetrics/metrics"
)

// postponedDelay is how long a drain may take before the audit trail lists the entries that it waits for.
const postponedDelay = 5 * time.Second

// drainWait is a drain that has not been confirmed by all entries. audited is set once the audit trail lists it.
type drainWait struct {
	since   time.Time
	audited bool
}

// advanceOrders advances the pending orders by one step and begins the orders that are needed. It does neither if the orders or
// the platform's list of endpoints could not be read.
func (w *Worker) advanceOrders(ctx context.Context) {
	if err := w.book.Load(ctx); err != nil {
		w.logFailure("orders", err)
		return
	}
	if !w.listedNow || !w.book.Loaded() {
		return
	}
	for _, e := range w.book.Step(ctx, w.endpointViews(), w.cfg.Sender) {
		w.recordStep(ctx, e)
	}
	for _, row := range fleet.Plan(w.fleetView(w.polledStates)) {
		w.beginOrder(ctx, row)
	}
}

// endpointViews returns the input of the orders' next steps: the state of each endpoint, and whether it is drained for its order. An
// endpoint counts as drained when every entry has confirmed that it has no request in flight there, or is gone.
func (w *Worker) endpointViews() map[wire.EndpointId]order.EndpointView {
	views := map[wire.EndpointId]order.EndpointView{}
	for _, e := range w.endpoints {
		state, known := w.polledStates[e.Endpoint]
		views[e.Endpoint] = order.EndpointView{Address: e.Address, Leaving: e.Leaving, StateKnown: known, State: state}
	}
	for _, row := range w.book.PendingWritten() {
		if v, ok := views[row.Endpoint]; ok {
			v.Drained = len(w.drains.Waiting(row.Order)) == 0
			views[row.Endpoint] = v
		}
	}
	return views
}

// beginOrder writes a new order to the table and logs it.
func (w *Worker) beginOrder(ctx context.Context, row wire.OrderRow) {
	begun, err := w.book.Begin(ctx, row, w.accepted.row.Version)
	w.logOrder(begun, err, "order step: begin")
}

// recordStep logs and counts a step of an order, and ends the drain of an order that is no longer pending.
func (w *Worker) recordStep(ctx context.Context, e order.Event) {
	if e.Action == order.Drain {
		w.auditLongDrain(ctx, e.Row)
		return
	}
	// A step with the action Wait is only reported if writing the order's row failed.
	text := map[order.Action]string{
		order.Wait: "order step: write", order.Send: "order step: send", order.Finish: "order step: finish", order.Abandon: "order step: abandon",
	}[e.Action]
	w.logOrder(e.Row, e.Err, text)
	countStep(e)
	if e.Row.State != wire.OrderStatePending {
		w.endDrain(e.Row)
	}
}

// countStep counts a step of an order by action and outcome.
func countStep(e order.Event) {
	outcome := string(e.Row.State)
	if e.Err != nil {
		outcome = "Failed"
	}
	action := string(e.Row.Action)
	if e.Row.Endpoint == "" {
		action = "SetCount"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`entry_order_steps_total{action=%q,outcome=%q}`, action, outcome)).Inc()
}

// logOrder logs a step of an order, as a warning if it failed and has to be repeated.
func (w *Worker) logOrder(row wire.OrderRow, err error, text string) {
	entry := w.logger.Info()
	if err != nil {
		entry = w.logger.Warn().Err(err)
	}
	entry.Str("Order", string(row.Order)).Str("Target", string(order.TargetOf(row))).Str("Action", string(row.Action)).
		Str("State", string(row.State)).Str("Why", row.Why).Msg(text)
}

// auditLongDrain adds to the audit trail, once for each order, the entries that a drain still waits for after
// postponedDelay.
func (w *Worker) auditLongDrain(ctx context.Context, row wire.OrderRow) {
	wait, ok := w.drainWaits[row.Order]
	if !ok {
		wait = &drainWait{since: w.clock.Now()}
		w.drainWaits[row.Order] = wait
	}
	if wait.audited || w.clock.Since(wait.since) < postponedDelay {
		return
	}
	why := fmt.Sprintf("postponed: not drained yet at %v", w.drains.Waiting(row.Order))
	if err := w.book.WriteAuditNote(ctx, row, why, w.accepted.row.Version); err != nil {
		w.logFailure("audit", err)
		return
	}
	wait.audited = true
	metrics.GetOrCreateCounter("entry_postponed_drains_total").Inc()
	w.logOrder(row, nil, why)
}

// endDrain removes an order's drain here and at the entries.
func (w *Worker) endDrain(row wire.OrderRow) {
	w.drains.End(row.Order)
	delete(w.drainWaits, row.Order)
	if row.Endpoint != "" {
		w.send("", topicDrainEnd, drainEnd(row, w.links.epoch))
	}
}

func drainEnd(row wire.OrderRow, epoch wire.Epoch) wire.DrainEnd {
	return wire.DrainEnd{Order: row.Order, Endpoint: row.Endpoint, Epoch: epoch}
}

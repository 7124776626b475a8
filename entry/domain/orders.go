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

// postponedAfter is how long a drain may take before the audit trail tells what it waits for.
const postponedAfter = 5 * time.Second

// wait is a drain that is not done yet.
type wait struct {
	since time.Time
	noted bool
}

// order takes the orders under way one step on and begins the ones that are needed. Without the platform's list of
// endpoints it does neither.
func (w *Worker) order(ctx context.Context) {
	if err := w.book.Load(ctx); err != nil {
		w.report("orders", err)
		return
	}
	if !w.listed || !w.book.Loaded() {
		return
	}
	for _, e := range w.book.Step(ctx, w.views(), w.cfg.Sender) {
		w.handle(ctx, e)
	}
	for _, row := range fleet.Plan(w.view(w.fresh)) {
		w.begin(ctx, row)
	}
}

func (w *Worker) views() map[wire.EndpointId]order.View {
	views := map[wire.EndpointId]order.View{}
	for _, e := range w.endpoints {
		state, known := w.fresh[e.Endpoint]
		views[e.Endpoint] = order.View{Address: e.Address, Leaving: e.Leaving, Known: known, State: state}
	}
	for _, row := range w.book.Written() {
		if v, ok := views[row.Endpoint]; ok {
			v.Drained = len(w.drains.Waiting(row.Order)) == 0
			views[row.Endpoint] = v
		}
	}
	return views
}

func (w *Worker) begin(ctx context.Context, row wire.OrderRow) {
	begun, err := w.book.Begin(ctx, row, w.accepted.row.Version)
	w.logOrder(begun, err, "order begun")
}

func (w *Worker) handle(ctx context.Context, e order.Event) {
	if e.Action == order.Drain {
		w.postpone(ctx, e.Row)
		return
	}
	text := map[order.Action]string{
		order.Wait: "order repeated ahead", order.Send: "order sent", order.Finish: "order finished", order.Abandon: "order abandoned",
	}[e.Action]
	w.logOrder(e.Row, e.Err, text)
	countOrder(e)
	if e.Row.State != wire.OrderStatePending {
		w.endDrain(e.Row)
	}
}

func countOrder(e order.Event) {
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

func (w *Worker) logOrder(row wire.OrderRow, err error, text string) {
	entry := w.logger.Info()
	if err != nil {
		entry = w.logger.Warn().Err(err)
	}
	entry.Str("Order", string(row.Order)).Str("Target", string(order.TargetOf(row))).Str("Action", string(row.Action)).
		Str("State", string(row.State)).Str("Why", row.Why).Msg(text)
}

// postpone tells the audit trail once why a drain takes long.
func (w *Worker) postpone(ctx context.Context, row wire.OrderRow) {
	n, ok := w.notes[row.Order]
	if !ok {
		n = &wait{since: w.clock.Now()}
		w.notes[row.Order] = n
	}
	if n.noted || w.clock.Since(n.since) < postponedAfter {
		return
	}
	why := fmt.Sprintf("postponed: not drained yet at %v", w.drains.Waiting(row.Order))
	if err := w.book.Note(ctx, row, why, w.accepted.row.Version); err != nil {
		w.report("audit", err)
		return
	}
	n.noted = true
	metrics.GetOrCreateCounter("entry_postponed_drains_total").Inc()
	w.logOrder(row, nil, why)
}

func (w *Worker) endDrain(row wire.OrderRow) {
	w.drains.End(row.Order)
	delete(w.notes, row.Order)
	if row.Endpoint != "" {
		w.send("", topicDrainEnd, drainEnd(row, w.links.epoch))
	}
}

func drainEnd(row wire.OrderRow, epoch wire.Epoch) wire.DrainEnd {
	return wire.DrainEnd{Order: row.Order, Endpoint: row.Endpoint, Epoch: epoch}
}

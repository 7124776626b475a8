package order

import (
	"context"
	"errors"
	"net/http"
	"slices"

	"cowslipshunt.example/shared/platform"
	"cowslipshunt.example/wire"
)

// Sender sends orders. An order may still take effect after an error was returned.
type Sender interface {
	// OrderEngine sends an order to the engine at an address.
	OrderEngine(ctx context.Context, address string, order wire.EngineOrder) (wire.EngineOrderAnswer, error)
	// OrderEndpoints sends an order to the platform.
	OrderEndpoints(ctx context.Context, order wire.EndpointOrder) (wire.EndpointOrderAnswer, error)
}

// Event reports what Step did with one order. If Err is set, a later Step tries again.
type Event struct {
	Row    wire.OrderRow
	Action Action
	Err    error
}

// Step performs the next action of each pending order. An endpoint that is missing from views counts as removed from the
// platform's list. Step returns an event for each order for which it did anything, and does nothing unless Loaded.
func (b *Book) Step(ctx context.Context, views map[wire.EndpointId]EndpointView, sender Sender) []Event {
	if !b.Loaded() {
		return nil
	}
	var events []Event
	for _, o := range slices.Clone(b.pending) {
		if e := b.step(ctx, o, views, sender); e.Action != Wait || e.Err != nil {
			events = append(events, e)
		}
	}
	return events
}

func (b *Book) step(ctx context.Context, o *pendingOrder, views map[wire.EndpointId]EndpointView, sender Sender) Event {
	if !o.written {
		if err := b.insert(ctx, o); err != nil {
			return Event{Row: o.row, Action: Wait, Err: err}
		}
	}
	if o.row.Endpoint == "" {
		err := b.sendToPlatform(ctx, o, sender)
		return Event{Row: o.row, Action: Send, Err: err}
	}
	view, listed := views[o.row.Endpoint]
	action := nextAction(o.row, view, listed)
	var err error
	switch action {
	case Send:
		err = b.sendToEngine(ctx, o, view, sender)
	case Finish:
		err = b.settle(ctx, o, wire.OrderStateDone, "seen done in the engine's state")
	case Abandon:
		err = b.settle(ctx, o, wire.OrderStateAbandoned, "endpoint is gone from the platform's list")
	}
	return Event{Row: o.row, Action: action, Err: err}
}

// sendGuarded calls send with the order timeout, or returns ErrNotLoaded if the lease is not held for that long.
func (b *Book) sendGuarded(ctx context.Context, send func(context.Context, wire.Epoch) error) error {
	epoch, ok := b.fence.Guard(b.timeout)
	if !ok || epoch != b.epoch {
		return ErrNotLoaded
	}
	ctx, cancel := context.WithTimeout(ctx, b.timeout)
	defer cancel()
	return send(ctx, epoch)
}

func (b *Book) sendToEngine(ctx context.Context, o *pendingOrder, v EndpointView, sender Sender) error {
	var answer wire.EngineOrderAnswer
	err := b.sendGuarded(ctx, func(ctx context.Context, epoch wire.Epoch) (err error) {
		answer, err = sender.OrderEngine(ctx, v.Address, wire.EngineOrder{
			Order:        o.row.Order,
			Epoch:        epoch,
			Holder:       b.instance,
			Action:       o.row.Action,
			Model:        o.row.Model,
			ModelVersion: o.row.ModelVersion,
			Role:         o.row.Role,
		})
		return err
	})
	if err != nil || answer.Order != o.row.Order || answer.Accepted {
		return err
	}
	return b.settle(ctx, o, wire.OrderStateRefused, answer.Reason)
}

func (b *Book) sendToPlatform(ctx context.Context, o *pendingOrder, sender Sender) error {
	var answer wire.EndpointOrderAnswer
	err := b.sendGuarded(ctx, func(ctx context.Context, epoch wire.Epoch) (err error) {
		answer, err = sender.OrderEndpoints(ctx, wire.EndpointOrder{
			Order:       o.row.Order,
			Domain:      o.row.Domain,
			Kind:        o.row.Kind,
			Count:       o.row.Count,
			Holder:      b.instance,
			Incarnation: b.incarnation,
			Epoch:       epoch,
		})
		return err
	})
	if refusal, ok := errors.AsType[*platform.Error](err); ok && isFinal(refusal.Status) {
		return b.settle(ctx, o, wire.OrderStateRefused, refusal.Text)
	}
	if err != nil {
		return err
	}
	return b.settle(ctx, o, wire.OrderStateDone, answer.Reason)
}

// isFinal reports whether a repeated request would get the same HTTP status: a client error other than Request Timeout and
// Too Many Requests.
func isFinal(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError &&
		status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}

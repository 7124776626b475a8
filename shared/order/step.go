package order

import (
	"context"
	"errors"
	"net/http"
	"slices"

	"cowslipshunt.example/shared/platform"
	"cowslipshunt.example/wire"
)

// Sender carries orders. After an error an order may still take effect.
type Sender interface {
	// OrderEngine gives an order to the engine at an address.
	OrderEngine(ctx context.Context, address string, order wire.EngineOrder) (wire.EngineOrderAnswer, error)
	// OrderEndpoints gives an order to the platform.
	OrderEndpoints(ctx context.Context, order wire.EndpointOrder) (wire.EndpointOrderAnswer, error)
}

// Event tells what one step did with an order. Err is set if it has to be tried again.
type Event struct {
	Row    wire.OrderRow
	Action Action
	Err    error
}

// Step takes each order under way one step on. Endpoints that views lacks are gone from the platform's list.
func (b *Book) Step(ctx context.Context, views map[wire.EndpointId]View, sender Sender) []Event {
	if !b.Loaded() {
		return nil
	}
	var events []Event
	for _, o := range slices.Clone(b.open) {
		if e := b.step(ctx, o, views, sender); e.Action != Wait || e.Err != nil {
			events = append(events, e)
		}
	}
	return events
}

func (b *Book) step(ctx context.Context, o *Open, views map[wire.EndpointId]View, sender Sender) Event {
	if !o.written {
		if err := b.write(ctx, o); err != nil {
			return Event{Row: o.Row, Action: Wait, Err: err}
		}
	}
	if o.Row.Endpoint == "" {
		err := b.sendToPlatform(ctx, o, sender)
		return Event{Row: o.Row, Action: Send, Err: err}
	}
	view, listed := views[o.Row.Endpoint]
	action := Next(o.Row, view, listed)
	var err error
	switch action {
	case Send:
		err = b.sendToEngine(ctx, o, view, sender)
	case Finish:
		err = b.settle(ctx, o, wire.OrderStateDone, "seen done in the engine's state")
	case Abandon:
		err = b.settle(ctx, o, wire.OrderStateAbandoned, "endpoint is gone from the platform's list")
	}
	return Event{Row: o.Row, Action: action, Err: err}
}

// guarded runs one send within the order timeout, if the lease lasts that long.
func (b *Book) guarded(ctx context.Context, send func(context.Context, wire.Epoch) error) error {
	epoch, ok := b.fence.Guard(b.timeout)
	if !ok || epoch != b.epoch {
		return ErrNotLoaded
	}
	ctx, cancel := context.WithTimeout(ctx, b.timeout)
	defer cancel()
	return send(ctx, epoch)
}

func (b *Book) sendToEngine(ctx context.Context, o *Open, v View, sender Sender) error {
	var answer wire.EngineOrderAnswer
	err := b.guarded(ctx, func(ctx context.Context, epoch wire.Epoch) (err error) {
		answer, err = sender.OrderEngine(ctx, v.Address, wire.EngineOrder{
			Order:        o.Row.Order,
			Epoch:        epoch,
			Holder:       b.instance,
			Action:       o.Row.Action,
			Model:        o.Row.Model,
			ModelVersion: o.Row.ModelVersion,
			Role:         o.Row.Role,
		})
		return err
	})
	if err != nil || answer.Order != o.Row.Order || answer.Accepted {
		return err
	}
	return b.settle(ctx, o, wire.OrderStateRefused, answer.Reason)
}

func (b *Book) sendToPlatform(ctx context.Context, o *Open, sender Sender) error {
	var answer wire.EndpointOrderAnswer
	err := b.guarded(ctx, func(ctx context.Context, epoch wire.Epoch) (err error) {
		answer, err = sender.OrderEndpoints(ctx, wire.EndpointOrder{
			Order:       o.Row.Order,
			Domain:      o.Row.Domain,
			Kind:        o.Row.Kind,
			Count:       o.Row.Count,
			Holder:      b.instance,
			Incarnation: b.incarnation,
			Epoch:       epoch,
		})
		return err
	})
	if refusal, ok := errors.AsType[*platform.Error](err); ok && refused(refusal.Status) {
		return b.settle(ctx, o, wire.OrderStateRefused, refusal.Text)
	}
	if err != nil {
		return err
	}
	return b.settle(ctx, o, wire.OrderStateDone, answer.Reason)
}

// refused tells a status that a repeat would get again.
func refused(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError &&
		status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}

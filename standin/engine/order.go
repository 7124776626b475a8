package main

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"cowslipshunt.example/wire"
)

// Errors in an order's body.
var (
	errNoOrder  = errors.New("order has no id")
	errNoModel  = errors.New("order to load names no model")
	errBadRole  = errors.New("order names no known role")
	errNoAction = errors.New("order names no known action")
)

func checkOrder(o wire.EngineOrder) error {
	switch {
	case o.Order == "":
		return errNoOrder
	case o.Action == wire.EngineActionStop:
		return nil
	case o.Action == wire.EngineActionLoadModel && o.Model == "":
		return errNoModel
	case o.Action == wire.EngineActionLoadModel:
		return nil
	case o.Action == wire.EngineActionChangeRole && !slices.Contains(roles, o.Role):
		return errBadRole
	case o.Action == wire.EngineActionChangeRole:
		return nil
	}
	return errNoAction
}

// handleOrder executes an order, unless it has already received one with the same id. A repeated order gets the first answer
// again.
func (e *engine) handleOrder(o wire.EngineOrder) wire.EngineOrderAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	answer, repeated := e.orderAnswers[o.Order]
	if !repeated {
		answer = e.decide(o)
		e.orderAnswers[o.Order] = answer
	}
	e.orders.Add(wire.EngineOrderReceived{Accepted: answer.Accepted, At: e.clock.Now(), Order: o})
	e.logger.Info().Str("Order", string(o.Order)).Str("Action", string(o.Action)).Int("Epoch", int(o.Epoch)).
		Bool("Accepted", answer.Accepted).Bool("Repeat", repeated).Msg("order received")
	return answer
}

func (e *engine) decide(o wire.EngineOrder) wire.EngineOrderAnswer {
	answer := wire.EngineOrderAnswer{Order: o.Order}
	switch {
	case e.stopped:
		answer.Reason = "engine has stopped"
	case e.cfg.ChecksFencing && o.Epoch < e.state.Epoch:
		answer.Reason = fmt.Sprintf("epoch %d is lower than %d", o.Epoch, e.state.Epoch)
	default:
		answer.Accepted = true
		e.acceptOrder(o)
	}
	answer.Epoch = e.state.Epoch
	return answer
}

// acceptOrder aborts the running requests and starts the order. Until it is done, new requests are rejected.
func (e *engine) acceptOrder(o wire.EngineOrder) {
	e.counters.orders.Inc()
	e.state.Epoch = max(e.state.Epoch, o.Epoch)
	e.state.LastOrder = o.Order
	e.state.LastOrderDone = o.Action == wire.EngineActionStop
	e.stopServing()
	if o.Action == wire.EngineActionStop {
		e.stopped = true
		return
	}
	previous := e.ordersDone
	e.ordersDone = make(chan struct{})
	e.pendingOrders++
	go e.execute(o, previous, e.ordersDone)
}

// execute waits for the orders accepted before, then for the time that an order takes, clears the cache and applies the order.
func (e *engine) execute(o wire.EngineOrder, previous <-chan struct{}, done chan<- struct{}) {
	defer close(done)
	select {
	case <-previous:
	case <-e.lifetime.Done():
		return
	}
	if e.waitUntil(e.lifetime, e.clock.Now().Add(millis(e.cfg.OrderMillis))) != nil {
		return
	}
	e.cache.clear()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.apply(o)
}

func (e *engine) apply(o wire.EngineOrder) {
	switch o.Action {
	case wire.EngineActionLoadModel:
		e.state.Model, e.state.ModelVersion = o.Model, o.ModelVersion
	case wire.EngineActionChangeRole:
		e.state.Role = o.Role
	}
	if e.state.LastOrder == o.Order {
		e.state.LastOrderDone = true
	}
	e.pendingOrders--
	if e.pendingOrders == 0 {
		e.serving, e.stopServing = context.WithCancel(e.lifetime)
	}
	e.logger.Info().Str("Order", string(o.Order)).Msg("order done")
}

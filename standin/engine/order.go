package main

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"cowslipshunt.example/wire"
)

// Faults of an order that make it no order at all.
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

// order answers an order, and does it unless its id was seen before.
func (e *engine) order(o wire.EngineOrder) wire.EngineOrderAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	answer, seen := e.answers[o.Order]
	if !seen {
		answer = e.decide(o)
		e.answers[o.Order] = answer
	}
	e.ordered.Add(wire.EngineOrderReceived{Accepted: answer.Accepted, At: e.clock.Now(), Order: o})
	e.logger.Info().Str("Order", string(o.Order)).Str("Action", string(o.Action)).Int("Epoch", int(o.Epoch)).
		Bool("Accepted", answer.Accepted).Bool("Repeat", seen).Msg("order received")
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
		e.accept(o)
	}
	answer.Epoch = e.state.Epoch
	return answer
}

// accept takes the engine away: what runs is cut, what comes is turned away.
func (e *engine) accept(o wire.EngineOrder) {
	e.meters.orders.Inc()
	e.state.Epoch = max(e.state.Epoch, o.Epoch)
	e.state.LastOrder = o.Order
	e.state.LastOrderDone = o.Action == wire.EngineActionStop
	e.cut()
	if o.Action == wire.EngineActionStop {
		e.stopped = true
		return
	}
	before := e.turn
	e.turn = make(chan struct{})
	e.pending++
	go e.carryOut(o, before, e.turn)
}

// carryOut does an order behind the ones accepted before it.
func (e *engine) carryOut(o wire.EngineOrder, before <-chan struct{}, done chan<- struct{}) {
	defer close(done)
	select {
	case <-before:
	case <-e.life.Done():
		return
	}
	if e.waitUntil(e.life, e.clock.Now().Add(millis(e.cfg.OrderMillis))) != nil {
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
	e.pending--
	if e.pending == 0 {
		e.service, e.cut = context.WithCancel(e.life)
	}
	e.logger.Info().Str("Order", string(o.Order)).Msg("order done")
}

// Package order sends orders to engines and to the platform. Each order is written to the platform's table before it is sent.
//
// An order is pending until it is observed to be done, is refused, or its endpoint is gone. Until then, no different order
// is sent to its target, and the next holder of the lease repeats the same order with the same id.
package order

import (
	"fmt"

	"cowslipshunt.example/wire"
)

// TableName is the name of the table that holds the order rows.
const TableName = "order"

// Target identifies what an order changes: an endpoint, or the number of endpoints of a kind in the failure domain. A target
// has at most one pending order.
type Target string

// TargetOf returns an order's target.
func TargetOf(row wire.OrderRow) Target {
	if row.Endpoint != "" {
		return Target("endpoint/" + row.Endpoint)
	}
	return Target("kind/" + row.Kind)
}

// PendingError reports that a target already has a pending order.
type PendingError struct {
	Target Target
	Order  wire.OrderId
}

// Error returns a message with the pending order and the target.
func (e *PendingError) Error() string {
	return fmt.Sprintf("order %s is already pending for %s", e.Order, e.Target)
}

// EndpointView is the current state of one endpoint, as far as it is known.
type EndpointView struct {
	Address string
	// Leaving endpoints get no orders.
	Leaving bool
	// StateKnown means that State is a fresh answer of the engine.
	StateKnown bool
	State      wire.EngineState
	// Drained means that no entry sends requests to the endpoint and none are in flight there.
	Drained bool
}

// pendingOrder is an order that is not settled.
type pendingOrder struct {
	row wire.OrderRow
	// written is false while the row may be missing from the table.
	written  bool
	revision wire.Revision
	// audit is the entry that is written together with the row. It is empty for an order loaded from the table.
	audit wire.AuditRow
}

// Action is the next step of a pending order.
type Action int

// The possible actions.
const (
	// Wait does nothing in this step.
	Wait Action = iota
	// Drain keeps new requests away from the endpoint until none are in flight there.
	Drain
	// Send sends the order, possibly again.
	Send
	// Finish settles the order as done.
	Finish
	// Abandon settles the order because its endpoint is gone.
	Abandon
)

// nextAction returns the next step of an order to an engine. listed is false if the platform no longer lists the endpoint.
func nextAction(row wire.OrderRow, v EndpointView, listed bool) Action {
	switch {
	case !listed:
		return Abandon
	case !v.StateKnown:
		return Wait
	case v.State.LastOrder == row.Order && v.State.LastOrderDone:
		return Finish
	case v.State.LastOrder == row.Order || v.Leaving:
		return Wait
	case v.State.Model == "" || v.Drained:
		return Send
	}
	return Drain
}

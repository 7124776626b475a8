// Package order gives orders to engines and to the platform, each written ahead to the platform's table.
//
// An order is Pending until it is seen done, refused, or its endpoint is gone. No different order goes to a target
// before that, and whoever holds the lease next repeats the same order with the same id.
package order

import (
	"fmt"

	"cowslipshunt.example/wire"
)

// TableName is the table that holds the order rows.
const TableName = "order"

// Target is what at most one order may be under way for: an endpoint, or a failure domain's number of a kind.
type Target string

// TargetOf returns an order's target.
func TargetOf(row wire.OrderRow) Target {
	if row.Endpoint != "" {
		return Target("endpoint/" + row.Endpoint)
	}
	return Target("kind/" + row.Kind)
}

// OutstandingError reports a target that still has an order under way.
type OutstandingError struct {
	Target Target
	Order  wire.OrderId
}

// Error names the order under way.
func (e *OutstandingError) Error() string {
	return fmt.Sprintf("order %s is under way for %s", e.Order, e.Target)
}

// View is what is known of one endpoint.
type View struct {
	Address string
	// Leaving endpoints get no orders.
	Leaving bool
	// Known tells that the engine answered with State just now.
	Known bool
	State wire.EngineState
	// Drained tells that no entry sends to the endpoint and nothing is in flight there.
	Drained bool
}

// Open is an order under way.
type Open struct {
	Row wire.OrderRow
	// written is false while it is unknown whether the row reached the table.
	written  bool
	revision wire.Revision
	audit    wire.AuditRow
}

// Action is what to do next with an order under way.
type Action int

// The actions.
const (
	// Wait does nothing for now.
	Wait Action = iota
	// Drain keeps new work away until nothing is in flight.
	Drain
	// Send gives or repeats the order.
	Send
	// Finish settles the order as done.
	Finish
	// Abandon settles the order because its endpoint is gone.
	Abandon
)

// Next returns what to do with an order to an engine; listed tells whether the platform still lists the endpoint.
func Next(row wire.OrderRow, v View, listed bool) Action {
	switch {
	case !listed:
		return Abandon
	case !v.Known:
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

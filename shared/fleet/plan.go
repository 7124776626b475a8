// Package fleet plans the orders for a failure domain's endpoints and derives the state of each endpoint.
package fleet

import (
	"cmp"
	"fmt"
	"slices"

	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/shared/order"
	"cowslipshunt.example/wire"
)

// View is the information from which the holder of a failure domain's lease plans orders.
type View struct {
	Domain    wire.DomainName
	Document  *document.Document
	Endpoints []wire.EndpointRecord
	// States holds the states of engines. Plan needs those that answered the latest poll, States the last one that each reported.
	States map[wire.EndpointId]wire.EngineState
	// Pending holds the pending orders.
	Pending []wire.OrderRow
	// TooSoon reports whether an order would come too soon after the last one for the same target.
	TooSoon func(wire.OrderRow) bool
}

// Plan returns the orders to begin now. Their ids are not set.
func Plan(v View) []wire.OrderRow {
	if v.Document == nil {
		return nil
	}
	return append(v.countOrders(), v.loadOrders()...)
}

// countOrders returns orders for the document's number of endpoints of each kind where that number differs from the running ones.
func (v *View) countOrders() []wire.OrderRow {
	var rows []wire.OrderRow
	for _, f := range v.wantedFleets() {
		running := v.runningCount(f.Kind)
		row := wire.OrderRow{
			Domain: v.Domain,
			Kind:   f.Kind,
			Count:  f.Count,
			Why:    fmt.Sprintf("the document wants %d endpoints of %s, %d run", f.Count, f.Kind, running),
		}
		if running != f.Count && v.mayOrder(row) {
			rows = append(rows, row)
		}
	}
	return rows
}

// wantedFleets returns the document's fleets in the domain, and a fleet of zero endpoints for each kind that runs there but is
// not in the document.
func (v *View) wantedFleets() []document.Fleet {
	var fleets []document.Fleet
	for _, f := range v.Document.Fleet {
		if f.Domain == v.Domain {
			fleets = append(fleets, f)
		}
	}
	for _, e := range v.Endpoints {
		listed := slices.ContainsFunc(fleets, func(f document.Fleet) bool { return f.Kind == e.Kind })
		if !listed {
			fleets = append(fleets, document.Fleet{Domain: v.Domain, Kind: e.Kind})
		}
	}
	return fleets
}

// runningCount counts the endpoints of a kind that are not leaving.
func (v *View) runningCount(kind wire.EndpointKindName) int {
	n := 0
	for _, e := range v.Endpoints {
		if e.Kind == kind && !e.Leaving {
			n++
		}
	}
	return n
}

// mayOrder reports whether an order may begin now: no order for its target is pending, and the last one is not too recent.
func (v *View) mayOrder(row wire.OrderRow) bool {
	_, busy := v.pendingOrderFor(order.TargetOf(row))
	return !busy && !v.TooSoon(row)
}

func (v *View) pendingOrderFor(target order.Target) (wire.OrderRow, bool) {
	i := slices.IndexFunc(v.Pending, func(o wire.OrderRow) bool { return order.TargetOf(o) == target })
	if i < 0 {
		return wire.OrderRow{}, false
	}
	return v.Pending[i], true
}

func endpointTarget(id wire.EndpointId) order.Target {
	return order.TargetOf(wire.OrderRow{Endpoint: id})
}

// loadOrders returns orders to load the document's version of each kind's model. All engines without a model are ordered at once,
// as no capacity is lost; of the others, at most one per kind is out of service at a time.
func (v *View) loadOrders() []wire.OrderRow {
	var rows []wire.OrderRow
	kindBusy := map[wire.EndpointKindName]bool{}
	for _, o := range v.Pending {
		if o.Endpoint != "" {
			kindBusy[o.Kind] = true
		}
	}
	for _, e := range v.sortedEndpoints() {
		row, ok := v.loadOrder(e)
		if !ok {
			continue
		}
		empty := v.States[e.Endpoint].Model == ""
		if !empty && (kindBusy[e.Kind] || !v.canTakeOutOfService(e)) {
			continue
		}
		kindBusy[e.Kind] = true
		v.Pending = append(slices.Clip(v.Pending), row)
		rows = append(rows, row)
	}
	return rows
}

func (v *View) sortedEndpoints() []wire.EndpointRecord {
	endpoints := slices.Clone(v.Endpoints)
	slices.SortFunc(endpoints, func(a, b wire.EndpointRecord) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return endpoints
}

// loadOrder returns the order to load the document's model on an engine, and false if the engine does not answer, is leaving, has
// that model already or may not get an order now.
func (v *View) loadOrder(e wire.EndpointRecord) (wire.OrderRow, bool) {
	state, answered := v.States[e.Endpoint]
	model, ok := v.modelOf(e.Kind)
	if !answered || !ok || e.Leaving {
		return wire.OrderRow{}, false
	}
	if state.Model == model.Name && state.ModelVersion == model.Version {
		return wire.OrderRow{}, false
	}
	row := wire.OrderRow{
		Endpoint:     e.Endpoint,
		Domain:       v.Domain,
		Kind:         e.Kind,
		Action:       wire.EngineActionLoadModel,
		Model:        model.Name,
		ModelVersion: model.Version,
		Role:         state.Role,
		Why:          fmt.Sprintf("the document wants %s %s, loaded is %q %q", model.Name, model.Version, state.Model, state.ModelVersion),
	}
	return row, v.mayOrder(row)
}

// modelOf returns the document's model for a kind, and false if the kind is unknown or does not serve a model.
func (v *View) modelOf(kind wire.EndpointKindName) (document.Model, bool) {
	k, ok := v.kind(kind)
	if !ok || k.Serves != document.ServesModel {
		return document.Model{}, false
	}
	i := slices.IndexFunc(v.Document.Model, func(m document.Model) bool { return m.Name == k.Model })
	if i < 0 {
		return document.Model{}, false
	}
	return v.Document.Model[i], true
}

func (v *View) kind(name wire.EndpointKindName) (document.EndpointKind, bool) {
	i := slices.IndexFunc(v.Document.EndpointKind, func(k document.EndpointKind) bool { return k.Name == name })
	if i < 0 {
		return document.EndpointKind{}, false
	}
	return v.Document.EndpointKind[i], true
}

// canTakeOutOfService reports whether an engine may be taken out of service: its model is no longer wanted in the domain, or another
// engine serves it.
func (v *View) canTakeOutOfService(e wire.EndpointRecord) bool {
	model := v.States[e.Endpoint].Model
	if !v.wantsModel(model) {
		return true
	}
	return slices.ContainsFunc(v.Endpoints, func(other wire.EndpointRecord) bool {
		return other.Endpoint != e.Endpoint && v.isServing(other, model)
	})
}

// wantsModel reports whether the document wants at least one engine with the model in the domain.
func (v *View) wantsModel(name wire.ModelName) bool {
	return slices.ContainsFunc(v.wantedFleets(), func(f document.Fleet) bool {
		model, ok := v.modelOf(f.Kind)
		return ok && f.Count > 0 && model.Name == name
	})
}

// isServing reports whether an engine serves a model, and is neither leaving nor the target of a pending order.
func (v *View) isServing(e wire.EndpointRecord, model wire.ModelName) bool {
	state, answered := v.States[e.Endpoint]
	_, busy := v.pendingOrderFor(endpointTarget(e.Endpoint))
	return answered && !busy && !e.Leaving && state.Model == model
}

// Package fleet decides which orders a failure domain's endpoints need and how each endpoint stands.
package fleet

import (
	"cmp"
	"fmt"
	"slices"

	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/shared/order"
	"cowslipshunt.example/wire"
)

// View is what the holder of a failure domain's lease knows.
type View struct {
	Domain    wire.DomainName
	Document  *document.Document
	Endpoints []wire.EndpointRecord
	// States holds the engines that answered just now.
	States map[wire.EndpointId]wire.EngineState
	// Open are the orders under way.
	Open []wire.OrderRow
	// Resting tells orders that come too soon after one for the same target.
	Resting func(wire.OrderRow) bool
}

// Plan returns the orders to begin now, without their ids.
func Plan(v View) []wire.OrderRow {
	if v.Document == nil {
		return nil
	}
	return append(v.counts(), v.loads()...)
}

// counts orders the document's number of endpoints of each kind.
func (v *View) counts() []wire.OrderRow {
	var rows []wire.OrderRow
	for _, f := range v.wanted() {
		running := v.running(f.Kind)
		row := wire.OrderRow{
			Domain: v.Domain,
			Kind:   f.Kind,
			Count:  f.Count,
			Why:    fmt.Sprintf("the document wants %d endpoints of %s, %d run", f.Count, f.Kind, running),
		}
		if running != f.Count && v.idle(row) {
			rows = append(rows, row)
		}
	}
	return rows
}

// wanted returns the fleets of the domain, with zero for kinds that run but are not in the document.
func (v *View) wanted() []document.Fleet {
	var fleets []document.Fleet
	for _, f := range v.Document.Fleet {
		if f.Domain == v.Domain {
			fleets = append(fleets, f)
		}
	}
	for _, e := range v.Endpoints {
		known := slices.ContainsFunc(fleets, func(f document.Fleet) bool { return f.Kind == e.Kind })
		if !known {
			fleets = append(fleets, document.Fleet{Domain: v.Domain, Kind: e.Kind})
		}
	}
	return fleets
}

func (v *View) running(kind wire.EndpointKindName) int {
	n := 0
	for _, e := range v.Endpoints {
		if e.Kind == kind && !e.Leaving {
			n++
		}
	}
	return n
}

func (v *View) idle(row wire.OrderRow) bool {
	_, busy := v.openOn(order.TargetOf(row))
	return !busy && !v.Resting(row)
}

func (v *View) openOn(target order.Target) (wire.OrderRow, bool) {
	i := slices.IndexFunc(v.Open, func(o wire.OrderRow) bool { return order.TargetOf(o) == target })
	if i < 0 {
		return wire.OrderRow{}, false
	}
	return v.Open[i], true
}

func onEndpoint(id wire.EndpointId) order.Target {
	return order.TargetOf(wire.OrderRow{Endpoint: id})
}

// loads orders engines to load the document's version of their kind's model. Engines without a model are loaded at once,
// as nothing is taken away; of the others at most one of a kind is out at a time.
func (v *View) loads() []wire.OrderRow {
	var rows []wire.OrderRow
	changing := map[wire.EndpointKindName]bool{}
	for _, o := range v.Open {
		if o.Endpoint != "" {
			changing[o.Kind] = true
		}
	}
	for _, e := range v.sorted() {
		row, ok := v.load(e)
		if !ok {
			continue
		}
		first := v.States[e.Endpoint].Model == ""
		if !first && (changing[e.Kind] || !v.sparable(e)) {
			continue
		}
		changing[e.Kind] = true
		v.Open = append(slices.Clip(v.Open), row)
		rows = append(rows, row)
	}
	return rows
}

func (v *View) sorted() []wire.EndpointRecord {
	list := slices.Clone(v.Endpoints)
	slices.SortFunc(list, func(a, b wire.EndpointRecord) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return list
}

// load returns the order that brings an engine to the document's model, if it needs one and may get it.
func (v *View) load(e wire.EndpointRecord) (wire.OrderRow, bool) {
	state, known := v.States[e.Endpoint]
	model, ok := v.modelOf(e.Kind)
	if !known || !ok || e.Leaving {
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
	return row, v.idle(row)
}

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

// sparable tells whether an engine may be taken away: its model is no longer wanted here, or another engine serves it.
func (v *View) sparable(e wire.EndpointRecord) bool {
	model := v.States[e.Endpoint].Model
	if !v.wantsModel(model) {
		return true
	}
	return slices.ContainsFunc(v.Endpoints, func(other wire.EndpointRecord) bool {
		return other.Endpoint != e.Endpoint && v.serves(other, model)
	})
}

func (v *View) wantsModel(name wire.ModelName) bool {
	return slices.ContainsFunc(v.wanted(), func(f document.Fleet) bool {
		model, ok := v.modelOf(f.Kind)
		return ok && f.Count > 0 && model.Name == name
	})
}

// serves tells whether an engine answers for a model and stays so for now.
func (v *View) serves(e wire.EndpointRecord, model wire.ModelName) bool {
	state, known := v.States[e.Endpoint]
	_, busy := v.openOn(onEndpoint(e.Endpoint))
	return known && !busy && !e.Leaving && state.Model == model
}

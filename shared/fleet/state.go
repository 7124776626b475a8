package fleet

import (
	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/wire"
)

// States returns how each endpoint stands, in the order of their ids. An engine that never answered is Loading.
func States(v View) []wire.EndpointState {
	if v.Document == nil {
		return nil
	}
	states := make([]wire.EndpointState, 0, len(v.Endpoints))
	for _, e := range v.sorted() {
		states = append(states, v.state(e))
	}
	return states
}

func (v *View) state(e wire.EndpointRecord) wire.EndpointState {
	kind, _ := v.kind(e.Kind)
	engine, known := v.States[e.Endpoint]
	s := wire.EndpointState{
		Endpoint: e.Endpoint,
		Domain:   e.Domain,
		Address:  e.Address,
		Kind:     e.Kind,
		Service:  kind.Service,
		Role:     wire.EngineRoleMixed,
		Cheap:    kind.Cheap,
		Phase:    v.phase(e, kind),
	}
	if known {
		s.Model, s.ModelVersion, s.Role = engine.Model, engine.ModelVersion, engine.Role
	}
	return s
}

func (v *View) phase(e wire.EndpointRecord, kind document.EndpointKind) wire.EndpointPhase {
	engine := v.States[e.Endpoint]
	pending, busy := v.openOn(onEndpoint(e.Endpoint))
	switch {
	case e.Leaving:
		return wire.EndpointPhaseLeaving
	case kind.Serves == document.ServesService:
		return wire.EndpointPhaseReady
	case engine.Model == "" || busy && engine.LastOrder == pending.Order:
		return wire.EndpointPhaseLoading
	case busy:
		return wire.EndpointPhaseDraining
	}
	return wire.EndpointPhaseReady
}

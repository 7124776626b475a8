package fleet

import (
	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/wire"
)

// States returns the state of each endpoint, ordered by id. An engine that never reported a state is Loading.
func States(v View) []wire.EndpointState {
	if v.Document == nil {
		return nil
	}
	states := make([]wire.EndpointState, 0, len(v.Endpoints))
	for _, e := range v.sortedEndpoints() {
		states = append(states, v.endpointState(e))
	}
	return states
}

// AllReported reports whether each engine that is not leaving has reported a state.
func AllReported(v View) bool {
	for _, e := range v.Endpoints {
		kind, _ := v.kind(e.Kind)
		_, found := v.States[e.Endpoint]
		if !found && !e.Leaving && kind.Serves != document.ServesService {
			return false
		}
	}
	return true
}

func (v *View) endpointState(e wire.EndpointRecord) wire.EndpointState {
	kind, _ := v.kind(e.Kind)
	engine, found := v.States[e.Endpoint]
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
	if found {
		s.Model, s.ModelVersion, s.Role = engine.Model, engine.ModelVersion, engine.Role
	}
	return s
}

// phase returns an endpoint's phase. An engine with a pending order is draining until it reports that order as its last one; from
// then on it is loading.
func (v *View) phase(e wire.EndpointRecord, kind document.EndpointKind) wire.EndpointPhase {
	engine := v.States[e.Endpoint]
	pending, busy := v.pendingOrderFor(endpointTarget(e.Endpoint))
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

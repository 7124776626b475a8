package proof

import (
	"context"
	"io"
	"sync"
	"testing"

	"cowslipshunt.example/shared/channel"
	"cowslipshunt.example/shared/process"
	"cowslipshunt.example/wire"
)

// fakeLeaseHolder acts as the holder of a domain's lease for tests without duties: it lists every endpoint as ready.
type fakeLeaseHolder struct {
	hub    *channel.Hub
	mu     sync.Mutex
	states wire.EndpointStates
}

// startLeaseHolder sends the endpoints of a domain to its entries until the test ends.
func startLeaseHolder(t testing.TB, s *system, domain string) *fakeLeaseHolder {
	t.Helper()
	self := wire.Hello{Instance: wire.InstanceName("holder-" + domain), Domain: wire.DomainName(domain), Program: wire.ProgramDuties, Epoch: 1}
	h := &fakeLeaseHolder{
		hub:    channel.NewHub(self, process.NewLogger(io.Discard, "error", "proof", "holder"), channel.WithSecret(peerSecret)),
		states: wire.EndpointStates{Domain: wire.DomainName(domain), Epoch: 1, Sequence: 1},
	}
	for _, e := range append(append([]*endpoint{}, s.engines...), s.services...) {
		if e.domain == domain {
			h.states.Endpoints = append(h.states.Endpoints, e.state())
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	up, err := h.hub.Subscribe(ctx, channel.TopicLinkUp)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for m := range up {
			m.Ack()
			h.sendStates()
		}
	}()
	for _, m := range s.instances {
		if m.domain == domain {
			h.hub.Dial(ctx, m.peerProxy.target)
		}
	}
	t.Cleanup(func() {
		cancel()
		_ = h.hub.Close()
	})
	return h
}

func (h *fakeLeaseHolder) sendStates() {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = channel.Send(h.hub, "", "EndpointStates", h.states)
}

// updateEndpoints edits the listed endpoints and sends them to the entries.
func (h *fakeLeaseHolder) updateEndpoints(edit func([]wire.EndpointState)) {
	h.mu.Lock()
	list := append([]wire.EndpointState{}, h.states.Endpoints...)
	edit(list)
	h.states.Endpoints = list
	h.states.Sequence++
	h.mu.Unlock()
	h.sendStates()
}

// state returns the state of a ready endpoint.
func (e *endpoint) state() wire.EndpointState {
	state := wire.EndpointState{
		Endpoint: wire.EndpointId(e.id),
		Domain:   wire.DomainName(e.domain),
		Address:  e.proxy.address,
		Kind:     wire.EndpointKindName(e.kind),
		Phase:    wire.EndpointPhaseReady,
	}
	if e.kind == "booking" {
		state.Service = testService
	} else {
		state.Model, state.ModelVersion, state.Role = testModel, "1", wire.EngineRoleMixed
	}
	return state
}

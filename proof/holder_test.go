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

// holder plays the holder of a domain's lease for tests that need no holder of a lease: it lists every endpoint as ready.
type holder struct {
	hub    *channel.Hub
	mu     sync.Mutex
	states wire.EndpointStates
}

// startHolder lists a domain's endpoints to its entries until the test ends.
func startHolder(t testing.TB, s *system, domain string) *holder {
	t.Helper()
	self := wire.Hello{Instance: wire.InstanceName("holder-" + domain), Domain: wire.DomainName(domain), Program: wire.ProgramDuties, Epoch: 1}
	h := &holder{
		hub:    channel.NewHub(self, process.NewLogger(io.Discard, "error", "proof", "holder"), channel.WithSecret(peerSecret)),
		states: wire.EndpointStates{Domain: wire.DomainName(domain), Epoch: 1, Sequence: 1},
	}
	for _, e := range append(append([]*backend{}, s.engines...), s.services...) {
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
			h.send()
		}
	}()
	for _, m := range s.members {
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

func (h *holder) send() {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = channel.Send(h.hub, "", "EndpointStates", h.states)
}

// change changes the listed endpoints and tells the entries.
func (h *holder) change(edit func([]wire.EndpointState)) {
	h.mu.Lock()
	list := append([]wire.EndpointState{}, h.states.Endpoints...)
	edit(list)
	h.states.Endpoints = list
	h.states.Sequence++
	h.mu.Unlock()
	h.send()
}

// state describes a backend as ready.
func (b *backend) state() wire.EndpointState {
	e := wire.EndpointState{
		Endpoint: wire.EndpointId(b.id),
		Domain:   wire.DomainName(b.domain),
		Address:  b.proxy.address,
		Kind:     wire.EndpointKindName(b.kind),
		Phase:    wire.EndpointPhaseReady,
	}
	if b.kind == "booking" {
		e.Service = testService
	} else {
		e.Model, e.ModelVersion, e.Role = testModel, "1", wire.EngineRoleMixed
	}
	return e
}

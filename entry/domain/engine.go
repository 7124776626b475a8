package domain

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"cowslipshunt.example/shared/lease"
	"cowslipshunt.example/shared/platform"
	"cowslipshunt.example/wire"
)

// maxAnswer bounds an engine's answer, in bytes.
const maxAnswer = 1 << 20

// idleTimeout bounds how long an unused connection is kept.
const idleTimeout = 30 * time.Second

// Sender gives orders over connections that carry bytes only while the lease is held.
type Sender struct {
	engines  *http.Client
	platform *platform.Client
}

// NewSender returns a sender whose calls end within timeout.
func NewSender(keeper *lease.Keeper, platformAddress string, timeout time.Duration) *Sender {
	dial := keeper.GuardedDial((&net.Dialer{Timeout: timeout}).DialContext)
	transport := &http.Transport{DialContext: dial, IdleConnTimeout: idleTimeout}
	return &Sender{
		engines:  &http.Client{Transport: transport, Timeout: timeout},
		platform: platform.NewClient(platformAddress, platform.WithTimeout(timeout), platform.WithDial(dial)),
	}
}

// OrderEngine gives an order to the engine at an address.
func (s *Sender) OrderEngine(ctx context.Context, address string, order wire.EngineOrder) (wire.EngineOrderAnswer, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return wire.EngineOrderAnswer{}, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/orders", bytes.NewReader(body))
	if err != nil {
		return wire.EngineOrderAnswer{}, err
	}
	r.Header.Set("Content-Type", "application/json")
	return call[wire.EngineOrderAnswer](s.engines, r)
}

// OrderEndpoints gives an order to the platform.
func (s *Sender) OrderEndpoints(ctx context.Context, order wire.EndpointOrder) (wire.EndpointOrderAnswer, error) {
	return s.platform.OrderEndpoints(ctx, order)
}

// StatusError reports an engine's answer with another status than 200.
type StatusError struct {
	Path   string
	Status int
}

// Error names the path and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("engine %s: status %d", e.Path, e.Status)
}

func call[T any](client *http.Client, r *http.Request) (T, error) {
	var out T
	answer, err := client.Do(r)
	if err != nil {
		return out, err
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return out, err
	}
	if answer.StatusCode != http.StatusOK {
		return out, &StatusError{Path: r.URL.Path, Status: answer.StatusCode}
	}
	return out, json.Unmarshal(data, &out)
}

// Poller asks engines for their states.
type Poller struct {
	client *http.Client
}

// NewPoller returns a poller whose calls end within timeout.
func NewPoller(timeout time.Duration) *Poller {
	transport := &http.Transport{IdleConnTimeout: idleTimeout}
	return &Poller{client: &http.Client{Transport: transport, Timeout: timeout}}
}

// States asks all endpoints at once and returns the states of those that answered for themselves.
func (p *Poller) States(ctx context.Context, endpoints []wire.EndpointRecord) map[wire.EndpointId]wire.EngineState {
	var mu sync.Mutex
	var wg sync.WaitGroup
	states := map[wire.EndpointId]wire.EngineState{}
	for _, e := range endpoints {
		wg.Go(func() {
			state, err := p.state(ctx, e.Address)
			if err != nil || state.Endpoint != e.Endpoint {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			states[e.Endpoint] = state
		})
	}
	wg.Wait()
	return states
}

func (p *Poller) state(ctx context.Context, address string) (wire.EngineState, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/state", nil)
	if err != nil {
		return wire.EngineState{}, err
	}
	return call[wire.EngineState](p.client, r)
}

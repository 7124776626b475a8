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

	"cowslipshunt.example/shared/caller"
	"cowslipshunt.example/shared/lease"
	"cowslipshunt.example/shared/link"
	"cowslipshunt.example/shared/platform"
	"cowslipshunt.example/wire"
)

// maxAnswerBytes bounds the body of an engine's answer, in bytes.
const maxAnswerBytes = 1 << 20

// idleTimeout is how long an idle connection to an engine is kept open.
const idleTimeout = 30 * time.Second

// Sender sends orders over connections that transmit only while the lease is held.
type Sender struct {
	engines  *http.Client
	platform *platform.Client
}

// NewSender returns a sender with a timeout for each call. Its connections are guarded by the keeper's lease.
func NewSender(keeper *lease.Keeper, platformAddress string, timeout time.Duration) *Sender {
	dial := link.ReportingDial(link.DialFunc(keeper.GuardedDial((&net.Dialer{Timeout: timeout}).DialContext)))
	transport := &http.Transport{DialContext: dial, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: caller.MaxResponseHeaderBytes}
	return &Sender{
		engines:  &http.Client{Transport: transport, Timeout: timeout},
		platform: platform.NewClient(platformAddress, platform.WithTimeout(timeout), platform.WithDial(dial)),
	}
}

// OrderEngine sends an order to the engine at an address. A status other than 200 results in a StatusError.
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

// OrderEndpoints sends the platform an order for a number of endpoints.
func (s *Sender) OrderEndpoints(ctx context.Context, order wire.EndpointOrder) (wire.EndpointOrderAnswer, error) {
	return s.platform.OrderEndpoints(ctx, order)
}

// StatusError reports an engine's answer with a status other than 200.
type StatusError struct {
	Path   string
	Status int
}

// Error returns the path and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("engine %s: status %d", e.Path, e.Status)
}

// call sends a request and decodes the JSON body of its answer.
func call[T any](client *http.Client, r *http.Request) (T, error) {
	var out T
	answer, err := client.Do(r)
	if err != nil {
		return out, err
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return out, err
	}
	if answer.StatusCode != http.StatusOK {
		return out, &StatusError{Path: r.URL.Path, Status: answer.StatusCode}
	}
	return out, json.Unmarshal(data, &out)
}

// Poller reads engines' states.
type Poller struct {
	client *http.Client
}

// NewPoller returns a poller with a timeout for each call.
func NewPoller(timeout time.Duration) *Poller {
	transport := &http.Transport{IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: caller.MaxResponseHeaderBytes}
	return &Poller{client: &http.Client{Transport: transport, Timeout: timeout}}
}

// States polls all endpoints concurrently. It leaves out those that did not answer, and those at whose
// address another endpoint answered.
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

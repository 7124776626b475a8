package endpoint

import (
	"slices"
	"sync"
	"sync/atomic"

	"cowslipshunt.example/wire"
)

// defaultLimit bounds the requests in flight at an endpoint whose kind sets no bound.
const defaultLimit = 16

// View is an immutable list of endpoints by what they serve.
type View struct {
	models   map[wire.ModelName][]*Endpoint
	services map[wire.ServiceName][]*Endpoint
	all      map[wire.EndpointId]*Endpoint
}

// Model returns the endpoints that serve a model.
func (v *View) Model(name wire.ModelName) []*Endpoint {
	return v.models[name]
}

// Service returns the endpoints that serve a plain service.
func (v *View) Service(name wire.ServiceName) []*Endpoint {
	return v.services[name]
}

// All returns every endpoint, in no order.
func (v *View) All() []*Endpoint {
	list := make([]*Endpoint, 0, len(v.all))
	for _, e := range v.all {
		list = append(list, e)
	}
	return list
}

// Directory holds the newest view. Readers take it without a lock; writers copy and replace it.
type Directory struct {
	view    atomic.Pointer[View]
	limits  func(wire.EndpointKindName) int
	changed func()

	mu     sync.Mutex
	states wire.EndpointStates
	drains map[wire.OrderId]drain
}

// drain is an order that keeps new work from an endpoint.
type drain struct {
	endpoint *Endpoint
	epoch    wire.Epoch
}

// Option changes a directory.
type Option func(*Directory)

// WithLimits sets how many requests an entry may have in flight at an endpoint of a kind; zero is the default.
func WithLimits(limits func(wire.EndpointKindName) int) Option {
	return func(d *Directory) {
		d.limits = limits
	}
}

// WithChanged sets what is called after each change, outside any lock.
func WithChanged(changed func()) Option {
	return func(d *Directory) {
		d.changed = changed
	}
}

// NewDirectory returns an empty directory.
func NewDirectory(opts ...Option) *Directory {
	d := &Directory{
		limits:  func(wire.EndpointKindName) int { return 0 },
		changed: func() {},
		drains:  map[wire.OrderId]drain{},
	}
	for _, opt := range opts {
		opt(d)
	}
	d.view.Store(&View{})
	return d
}

// View returns the newest view.
func (d *Directory) View() *View {
	return d.view.Load()
}

// States returns the newest states taken, for a peer that has none.
func (d *Directory) States() wire.EndpointStates {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.states
}

// Apply takes a holder's states unless it has newer ones, and tells whether it took them.
func (d *Directory) Apply(states wire.EndpointStates) bool {
	d.mu.Lock()
	if !newer(states, d.states) {
		d.mu.Unlock()
		return false
	}
	if states.Epoch > d.states.Epoch {
		d.dropDrains(states.Epoch)
	}
	d.states = states
	d.rebuild()
	d.mu.Unlock()
	d.changed()
	return true
}

// dropDrains ends what holders before epoch began: the new holder repeats what is still wanted, and lists such an endpoint
// as draining.
func (d *Directory) dropDrains(epoch wire.Epoch) {
	for order, begun := range d.drains {
		if begun.epoch < epoch {
			begun.endpoint.drains.Add(-1)
			delete(d.drains, order)
		}
	}
}

func newer(a, b wire.EndpointStates) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch > b.Epoch
	}
	return a.Sequence > b.Sequence
}

func (d *Directory) rebuild() {
	old := d.view.Load()
	v := &View{
		models:   map[wire.ModelName][]*Endpoint{},
		services: map[wire.ServiceName][]*Endpoint{},
		all:      map[wire.EndpointId]*Endpoint{},
	}
	for _, state := range d.states.Endpoints {
		e := d.keep(old, state)
		v.all[state.Endpoint] = e
		if state.Model != "" {
			v.models[state.Model] = append(v.models[state.Model], e)
		}
		if state.Service != "" {
			v.services[state.Service] = append(v.services[state.Service], e)
		}
	}
	for id, e := range old.all {
		if _, listed := v.all[id]; !listed {
			e.closed.Store(true)
		}
	}
	d.view.Store(v)
}

// keep returns the endpoint of the old view with its new state, or a new endpoint.
func (d *Directory) keep(old *View, state wire.EndpointState) *Endpoint {
	e, known := old.all[state.Endpoint]
	if !known || e.State().Address != state.Address {
		e = &Endpoint{}
	}
	limit := d.limits(state.Kind)
	if limit <= 0 {
		limit = defaultLimit
	}
	e.limit.Store(int64(limit))
	if before := e.state.Swap(&state); before != nil && before.ModelVersion != state.ModelVersion {
		e.memory.forget()
	}
	return e
}

// BeginDrain stops new work to an endpoint for an order and returns how many requests are in flight there. It takes no
// order from a holder whose epoch is over, and tells so. An endpoint that the directory does not list has none in flight.
func (d *Directory) BeginDrain(order wire.OrderId, id wire.EndpointId, epoch wire.Epoch) (int, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if epoch < d.states.Epoch {
		return 0, false
	}
	e, listed := d.view.Load().all[id]
	if !listed {
		return 0, true
	}
	begun, known := d.drains[order]
	if !known {
		e.drains.Add(1)
		begun.endpoint = e
	}
	begun.epoch = max(begun.epoch, epoch)
	d.drains[order] = begun
	return begun.endpoint.InFlight(), true
}

// EndDrain lets new work go to an order's endpoint again, unless the holder's epoch is over.
func (d *Directory) EndDrain(order wire.OrderId, epoch wire.Epoch) {
	d.mu.Lock()
	if begun, known := d.drains[order]; known && epoch >= begun.epoch {
		begun.endpoint.drains.Add(-1)
		delete(d.drains, order)
	}
	d.mu.Unlock()
	d.changed()
}

// Leave stops new work to an endpoint that was heard to be leaving, until a holder's newer state lists it otherwise.
func (d *Directory) Leave(id wire.EndpointId) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, listed := d.view.Load().all[id]
	if !listed || e.State().Phase == wire.EndpointPhaseLeaving {
		return false
	}
	state := e.State()
	state.Phase = wire.EndpointPhaseLeaving
	e.state.Store(&state)
	d.states.Endpoints = slices.Clone(d.states.Endpoints)
	for i := range d.states.Endpoints {
		if d.states.Endpoints[i].Endpoint == id {
			d.states.Endpoints[i].Phase = wire.EndpointPhaseLeaving
		}
	}
	return true
}

package endpoint

import (
	"slices"
	"sync"
	"sync/atomic"

	"cowslipshunt.example/wire"
)

// defaultMaxInFlight bounds this entry's requests in flight at an endpoint whose kind sets no limit.
const defaultMaxInFlight = 16

// View is an immutable index of the endpoints by what they serve.
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

// All returns every endpoint, in no particular order.
func (v *View) All() []*Endpoint {
	endpoints := make([]*Endpoint, 0, len(v.all))
	for _, e := range v.all {
		endpoints = append(endpoints, e)
	}
	return endpoints
}

// Directory holds the newest view. Readers load it without a lock; writers replace it by a new one.
type Directory struct {
	view     atomic.Pointer[View]
	limitOf  func(wire.EndpointKindName) int
	onChange func()

	mu     sync.Mutex
	states wire.EndpointStates
	drains map[wire.OrderId]drain
}

// drain is an order that keeps new requests away from an endpoint.
type drain struct {
	endpoint *Endpoint
	epoch    wire.Epoch
}

// Option configures a directory.
type Option func(*Directory)

// WithLimits sets how many requests this entry may have in flight at an endpoint of a kind. If limitOf returns zero or less, the
// default applies.
func WithLimits(limitOf func(wire.EndpointKindName) int) Option {
	return func(d *Directory) {
		d.limitOf = limitOf
	}
}

// WithOnChange sets a function that is called, without a lock held, after newer states are applied and after EndDrain.
func WithOnChange(onChange func()) Option {
	return func(d *Directory) {
		d.onChange = onChange
	}
}

// NewDirectory returns an empty directory.
func NewDirectory(opts ...Option) *Directory {
	d := &Directory{
		limitOf:  func(wire.EndpointKindName) int { return 0 },
		onChange: func() {},
		drains:   map[wire.OrderId]drain{},
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

// States returns the newest states applied, for a peer that has none.
func (d *Directory) States() wire.EndpointStates {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.states
}

// Apply replaces the directory's states by those of a lease holder, unless they are not newer. It reports whether it applied
// them.
func (d *Directory) Apply(states wire.EndpointStates) bool {
	d.mu.Lock()
	if !isNewer(states, d.states) {
		d.mu.Unlock()
		return false
	}
	if states.Epoch > d.states.Epoch {
		d.dropDrainsBefore(states.Epoch)
	}
	d.states = states
	d.rebuildView()
	d.mu.Unlock()
	d.onChange()
	return true
}

// dropDrainsBefore ends the drains that lease holders of earlier epochs began. The new holder repeats those still wanted, and
// lists their endpoints as draining.
func (d *Directory) dropDrainsBefore(epoch wire.Epoch) {
	for order, dr := range d.drains {
		if dr.epoch < epoch {
			dr.endpoint.drains.Add(-1)
			delete(d.drains, order)
		}
	}
}

func isNewer(a, b wire.EndpointStates) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch > b.Epoch
	}
	return a.Sequence > b.Sequence
}

// rebuildView replaces the view. Endpoints that are now ready change before those that no longer are, so that readers meanwhile do not
// find fewer usable endpoints than before and afterwards.
func (d *Directory) rebuildView() {
	old := d.view.Load()
	v := &View{
		models:   map[wire.ModelName][]*Endpoint{},
		services: map[wire.ServiceName][]*Endpoint{},
		all:      map[wire.EndpointId]*Endpoint{},
	}
	var unready []wire.EndpointState
	for _, state := range d.states.Endpoints {
		e := d.reuseOrCreate(old, state)
		if e.state.Load() == nil || state.Phase == wire.EndpointPhaseReady {
			e.setState(state)
		} else {
			unready = append(unready, state)
		}
		v.all[state.Endpoint] = e
		if state.Model != "" {
			v.models[state.Model] = append(v.models[state.Model], e)
		}
		if state.Service != "" {
			v.services[state.Service] = append(v.services[state.Service], e)
		}
	}
	d.view.Store(v)
	for _, state := range unready {
		v.all[state.Endpoint].setState(state)
	}
	for id, e := range old.all {
		if _, listed := v.all[id]; !listed {
			e.closed.Store(true)
		}
	}
}

// reuseOrCreate returns the endpoint of the old view, or a new one without a state if the old view has none at that address.
func (d *Directory) reuseOrCreate(old *View, state wire.EndpointState) *Endpoint {
	e, found := old.all[state.Endpoint]
	if !found || e.State().Address != state.Address {
		e = &Endpoint{}
	}
	limit := d.limitOf(state.Kind)
	if limit <= 0 {
		limit = defaultMaxInFlight
	}
	e.limit.Store(int64(limit))
	return e
}

// BeginDrain stops new requests to an order's endpoint and returns how many of this entry's requests are in flight there, and
// true. It returns false and does nothing if epoch is older than that of the directory's states. For an endpoint that the
// directory does not list it does nothing and returns zero and true.
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
	dr, found := d.drains[order]
	if !found {
		e.drains.Add(1)
		dr.endpoint = e
	}
	dr.epoch = max(dr.epoch, epoch)
	d.drains[order] = dr
	return dr.endpoint.InFlight(), true
}

// EndDrain allows new requests to an order's endpoint again, unless a lease holder of a later epoch repeated the drain.
func (d *Directory) EndDrain(order wire.OrderId, epoch wire.Epoch) {
	d.mu.Lock()
	if dr, found := d.drains[order]; found && epoch >= dr.epoch {
		dr.endpoint.drains.Add(-1)
		delete(d.drains, order)
	}
	d.mu.Unlock()
	d.onChange()
}

// MarkLeaving stops new requests to an endpoint that is reported to be leaving, until newer states list it in another phase. It
// returns false if the endpoint is not listed or already marked as leaving.
func (d *Directory) MarkLeaving(id wire.EndpointId) bool {
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

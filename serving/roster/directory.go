package roster

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cowslipshunt.example/wire"
	"github.com/cespare/xxhash/v2"
)

// LapseGrace is how long endpoints whose entries lapsed during a store outage stay listed after it: live endpoints register again
// within about two seconds.
const LapseGrace = 1900 * time.Millisecond

// View is an immutable snapshot of the listed endpoints.
type View struct {
	services map[wire.ServiceName][]*Endpoint
	all      map[wire.EndpointId]*Endpoint
}

// Service returns the endpoints of a service, ordered by id.
func (v *View) Service(name wire.ServiceName) []*Endpoint {
	return v.services[name]
}

// All returns every endpoint by id.
func (v *View) All() map[wire.EndpointId]*Endpoint {
	return v.all
}

// Directory applies changes of entries and publishes views of them. View takes no lock, and a published view never changes. It is
// safe for concurrent use.
type Directory struct {
	view atomic.Pointer[View]

	mu sync.Mutex
	// endpoints are the current endpoints, including lapsed ones.
	endpoints map[wire.EndpointId]*Endpoint
	// lapsed are the endpoints whose entries disappeared during a store outage or its grace period.
	lapsed map[wire.EndpointId]struct{}
	// overwritten is since when the entries of endpoints are replaced by unusable ones.
	overwritten map[wire.EndpointId]time.Time
	// silence is how long an endpoint whose entry is overwritten stays listed; 0 means that it does until its entry disappears.
	silence time.Duration
	// unlisted are the restrictions of incarnations that are not listed, the oldest first.
	unlisted []remembered
	// storeDown is set during an outage of the store; graceEnd is when lapsed endpoints are dropped after it.
	storeDown bool
	graceEnd  time.Time
	// batching is set while Batch runs; unpublished is set once the batch has changed something.
	batching, unpublished bool
}

// NewDirectory returns an empty directory.
func NewDirectory(options ...Option) *Directory {
	d := &Directory{
		endpoints: map[wire.EndpointId]*Endpoint{}, lapsed: map[wire.EndpointId]struct{}{}, overwritten: map[wire.EndpointId]time.Time{},
	}
	for _, o := range options {
		o(d)
	}
	d.view.Store(&View{})
	return d
}

// View returns the newest view.
func (d *Directory) View() *View {
	return d.view.Load()
}

// StoreLost records the start of a store outage. Entries that disappear from now on count as lapsed: they may reappear.
func (d *Directory) StoreLost() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeDown = true
}

// StoreRegained records that the store answers again, which starts the grace period of lapsed entries.
func (d *Directory) StoreRegained(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.storeDown {
		d.storeDown = false
		d.graceEnd = now.Add(LapseGrace)
	}
}

// Put adds or replaces an entry and reports whether anything changed. An entry with another start time is a new incarnation,
// which begins without load, failures or cached parts.
func (d *Directory) Put(entry Entry) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.lapsed, entry.ID)
	delete(d.overwritten, entry.ID)
	e, known := d.endpoints[entry.ID]
	if known && *e.Entry() == entry {
		return false
	}
	if known && e.Entry().Key != entry.Key {
		d.retire(e)
		known = false
	}
	if !known {
		e = &Endpoint{hash: xxhash.Sum64String(string(entry.ID)), restrictions: d.restrict(entry.Key)}
		d.endpoints[entry.ID] = e
	}
	e.entry.Store(&entry)
	d.publish()
	return true
}

// Known reports whether an endpoint is listed or lapsed.
func (d *Directory) Known(id wire.EndpointId) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, known := d.endpoints[id]
	return known
}

// Remove removes an endpoint and reports whether it did so at once. During a store outage and the grace period after it, an
// endpoint that is not leaving is only marked as lapsed, and DropLapsed removes it later.
func (d *Directory) Remove(id wire.EndpointId, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.remove(id, now)
}

func (d *Directory) remove(id wire.EndpointId, now time.Time) bool {
	e, known := d.endpoints[id]
	if !known {
		return false
	}
	if !e.Leaving() && (d.storeDown || now.Before(d.graceEnd)) {
		d.lapsed[id] = struct{}{}
		return false
	}
	d.drop(id)
	d.publish()
	return true
}

// Retain removes, as Remove does, every endpoint that is missing from a complete list of the store's entries. It returns the
// ids of those that were removed at once.
func (d *Directory) Retain(listed map[wire.EndpointId]bool, now time.Time) []wire.EndpointId {
	d.mu.Lock()
	defer d.mu.Unlock()
	var removed []wire.EndpointId
	for id := range d.endpoints {
		if !listed[id] && d.remove(id, now) {
			removed = append(removed, id)
		}
	}
	return removed
}

// DropLapsed removes the lapsed endpoints once the grace period is over, and returns their ids.
func (d *Directory) DropLapsed(now time.Time) []wire.EndpointId {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.storeDown || now.Before(d.graceEnd) || len(d.lapsed) == 0 {
		return nil
	}
	var removed []wire.EndpointId
	for id := range d.lapsed {
		d.drop(id)
		removed = append(removed, id)
	}
	d.publish()
	return removed
}

func (d *Directory) drop(id wire.EndpointId) {
	if e, known := d.endpoints[id]; known {
		d.retire(e)
	}
	delete(d.endpoints, id)
	delete(d.lapsed, id)
	delete(d.overwritten, id)
}

// retire marks an incarnation as removed.
func (d *Directory) retire(e *Endpoint) {
	e.removed.Store(true)
	d.remember(e.Entry().Key, e.restrictions)
}

// Batch runs change and then publishes all of its changes in one view, which saves building a view for each. Only one goroutine
// may call it at a time.
func (d *Directory) Batch(change func()) {
	d.mu.Lock()
	d.batching = true
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.batching = false
		if d.unpublished {
			d.unpublished = false
			d.publish()
		}
	}()
	change()
}

func (d *Directory) publish() {
	if d.batching {
		d.unpublished = true
		return
	}
	v := &View{services: map[wire.ServiceName][]*Endpoint{}, all: make(map[wire.EndpointId]*Endpoint, len(d.endpoints))}
	for id, e := range d.endpoints {
		v.all[id] = e
		service := e.Entry().Service
		v.services[service] = append(v.services[service], e)
	}
	for _, list := range v.services {
		slices.SortFunc(list, func(a, b *Endpoint) int { return strings.Compare(string(a.Entry().ID), string(b.Entry().ID)) })
	}
	d.view.Store(v)
}

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

// LapseGrace is how long after the store's return an entry that lapsed meanwhile may still come back: live endpoints
// are listed again within about two seconds.
const LapseGrace = 1900 * time.Millisecond

// View is an immutable list of endpoints by service.
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

// Directory holds the newest view. Readers take it without a lock; writers replace it.
type Directory struct {
	view atomic.Pointer[View]

	mu      sync.Mutex
	entries map[wire.EndpointId]*Endpoint
	// lapsed are endpoints whose entries went while the store was away or just back.
	lapsed map[wire.EndpointId]struct{}
	// away is set while the store does not answer; settled is when entries that lapsed are gone.
	away    bool
	settled time.Time
	// batched is set while changes are collected, changed once there is one.
	batched, changed bool
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	d := &Directory{entries: map[wire.EndpointId]*Endpoint{}, lapsed: map[wire.EndpointId]struct{}{}}
	d.view.Store(&View{})
	return d
}

// View returns the newest view.
func (d *Directory) View() *View {
	return d.view.Load()
}

// StoreLost notes that the store does not answer; entries that go from now on may come back.
func (d *Directory) StoreLost() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.away = true
}

// StoreBack notes that the store answers again.
func (d *Directory) StoreBack(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.away {
		d.away = false
		d.settled = now.Add(LapseGrace)
	}
}

// Put takes in one entry and tells whether it differs from what was known.
func (d *Directory) Put(entry Entry) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.lapsed, entry.ID)
	e, known := d.entries[entry.ID]
	if known && *e.Entry() == entry {
		return false
	}
	if known && e.Entry().Key != entry.Key {
		e.removed.Store(true)
		known = false
	}
	if !known {
		e = &Endpoint{hash: xxhash.Sum64String(string(entry.ID))}
		d.entries[entry.ID] = e
	}
	e.entry.Store(&entry)
	d.publish()
	return true
}

// Remove takes an endpoint out, at once or, if the entry may have lapsed with the store, after LapseGrace. It tells
// whether the endpoint went at once.
func (d *Directory) Remove(id wire.EndpointId, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.remove(id, now)
}

func (d *Directory) remove(id wire.EndpointId, now time.Time) bool {
	e, known := d.entries[id]
	if !known {
		return false
	}
	if !e.Entry().Leaving && (d.away || now.Before(d.settled)) {
		d.lapsed[id] = struct{}{}
		return false
	}
	d.drop(id)
	d.publish()
	return true
}

// Retain removes every endpoint that a full list of the store does not hold, and returns those that went at once.
func (d *Directory) Retain(listed map[wire.EndpointId]bool, now time.Time) []wire.EndpointId {
	d.mu.Lock()
	defer d.mu.Unlock()
	var gone []wire.EndpointId
	for id := range d.entries {
		if !listed[id] && d.remove(id, now) {
			gone = append(gone, id)
		}
	}
	return gone
}

// Settle drops the endpoints whose entries lapsed with the store and did not come back in time.
func (d *Directory) Settle(now time.Time) []wire.EndpointId {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.away || now.Before(d.settled) || len(d.lapsed) == 0 {
		return nil
	}
	var gone []wire.EndpointId
	for id := range d.lapsed {
		d.drop(id)
		gone = append(gone, id)
	}
	d.publish()
	return gone
}

func (d *Directory) drop(id wire.EndpointId) {
	if e, known := d.entries[id]; known {
		e.removed.Store(true)
	}
	delete(d.entries, id)
	delete(d.lapsed, id)
}

// Batch runs change, whose Puts and Removes show in the view together at its end: the view is made anew once for all of them. It is
// for one goroutine at a time.
func (d *Directory) Batch(change func()) {
	d.mu.Lock()
	d.batched = true
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.batched = false
		if d.changed {
			d.changed = false
			d.publish()
		}
	}()
	change()
}

func (d *Directory) publish() {
	if d.batched {
		d.changed = true
		return
	}
	v := &View{services: map[wire.ServiceName][]*Endpoint{}, all: make(map[wire.EndpointId]*Endpoint, len(d.entries))}
	for id, e := range d.entries {
		v.all[id] = e
		service := e.Entry().Service
		v.services[service] = append(v.services[service], e)
	}
	for _, list := range v.services {
		slices.SortFunc(list, func(a, b *Endpoint) int { return strings.Compare(string(a.Entry().ID), string(b.Entry().ID)) })
	}
	d.view.Store(v)
}

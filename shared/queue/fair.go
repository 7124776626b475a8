// Package queue holds requests that wait for a slot and serves workspaces fairly by the service they received.
package queue

import (
	"container/list"
	"time"

	"cowslipshunt.example/wire"
)

// Service is an amount of service: tokens weighed by their price, or requests.
type Service float64

// flow is one workspace's place in the queue.
type flow struct {
	weight  float64
	served  Service
	waiting *list.List
	// queued is the estimated service of those that wait.
	queued Service
	rate   rate
}

// fair orders waiting requests: next is the oldest request of the workspace with the least service for its weight. A
// workspace that comes back from idle does not keep its old lead: it starts level with the least served that wait.
type fair struct {
	flows map[wire.WorkspaceName]*flow
	total int
	floor Service
}

func newFair() *fair {
	return &fair{flows: map[wire.WorkspaceName]*flow{}}
}

func (f *fair) flow(name wire.WorkspaceName) *flow {
	fl, known := f.flows[name]
	if !known {
		fl = &flow{weight: 1, waiting: list.New()}
		f.flows[name] = fl
	}
	return fl
}

func (f *fair) push(t *Ticket) {
	fl := f.flow(t.request.Workspace)
	fl.weight = max(float64(t.request.Weight), 1)
	if fl.waiting.Len() == 0 {
		fl.served = max(fl.served, f.floor)
	}
	fl.rate.pass(t.joined, fl.waiting.Len() > 0)
	t.place = fl.waiting.PushBack(t)
	fl.queued += t.request.Estimate
	f.total++
}

// head returns the next request without removing it, or nil.
func (f *fair) head() *Ticket {
	var least *flow
	for _, fl := range f.flows {
		if fl.waiting.Len() == 0 {
			continue
		}
		if least == nil || before(fl, least) {
			least = fl
		}
	}
	if least == nil {
		return nil
	}
	f.floor = max(f.floor, least.served)
	return least.waiting.Front().Value.(*Ticket)
}

// before breaks ties by arrival.
func before(a, b *flow) bool {
	if a.served != b.served {
		return a.served < b.served
	}
	return a.waiting.Front().Value.(*Ticket).number < b.waiting.Front().Value.(*Ticket).number
}

func (f *fair) remove(t *Ticket, now time.Time) {
	fl := f.flows[t.request.Workspace]
	fl.rate.pass(now, true)
	fl.waiting.Remove(t.place)
	fl.queued -= t.request.Estimate
	f.total--
}

// grant removes a request that is served and charges its estimate. One that did not wait tells nothing of the rate.
func (f *fair) grant(t *Ticket, now time.Time) {
	f.remove(t, now)
	f.charge(t.request.Workspace, t.request.Estimate)
	if now.After(t.joined) {
		f.flows[t.request.Workspace].rate.grant(t.request.Estimate)
	}
}

func (f *fair) charge(name wire.WorkspaceName, amount Service) {
	fl := f.flow(name)
	fl.served += amount / Service(fl.weight)
}

func (f *fair) waiting(name wire.WorkspaceName) int {
	if fl, known := f.flows[name]; known {
		return fl.waiting.Len()
	}
	return 0
}

// wait estimates how long a new request of a workspace waits: its own requests that wait, at the rate at which it was
// served while some waited. That rate holds what the others took meanwhile. Nothing ahead is no wait.
func (f *fair) wait(name wire.WorkspaceName, now time.Time) (time.Duration, bool) {
	fl, known := f.flows[name]
	if !known || fl.waiting.Len() == 0 {
		return 0, false
	}
	fl.rate.pass(now, true)
	return fl.rate.wait(fl.queued)
}

// Package queue holds requests that wait for a slot at an endpoint. It grants slots to workspaces in weighted fair order,
// according to the service each received so far.
package queue

import (
	"container/list"
	"time"

	"cowslipshunt.example/wire"
)

// Service is an amount of service: tokens weighted by their price, or a number of requests.
type Service float64

// flow is the state of one workspace in the queue.
type flow struct {
	weight float64
	// served is the service received, divided by the weight.
	served  Service
	tickets *list.List
	// queuedService is the estimated service of the waiting requests.
	queuedService Service
	rate          rate
}

// fair orders waiting requests. Next is the oldest request of the workspace that received the least service relative to its
// weight. A workspace that was idle gets no credit for that time: it starts level with the least served waiting workspace.
type fair struct {
	flows map[wire.WorkspaceName]*flow
	total int
	// virtualTime is the highest service per weight that a workspace at the head of the queue had received.
	virtualTime Service
}

func newFair() *fair {
	return &fair{flows: map[wire.WorkspaceName]*flow{}}
}

func (f *fair) flowOf(name wire.WorkspaceName) *flow {
	fl, found := f.flows[name]
	if !found {
		fl = &flow{weight: 1, tickets: list.New()}
		f.flows[name] = fl
	}
	return fl
}

func (f *fair) push(t *Ticket) {
	fl := f.flowOf(t.request.Workspace)
	fl.weight = max(float64(t.request.Weight), 1)
	if fl.tickets.Len() == 0 {
		fl.served = max(fl.served, f.virtualTime)
	}
	fl.rate.advance(t.joined, fl.tickets.Len() > 0)
	t.element = fl.tickets.PushBack(t)
	fl.queuedService += t.request.Estimate
	f.total++
}

// head returns the next ticket without removing it, or nil if none waits.
func (f *fair) head() *Ticket {
	var least *flow
	for _, fl := range f.flows {
		if fl.tickets.Len() == 0 {
			continue
		}
		if least == nil || comesBefore(fl, least) {
			least = fl
		}
	}
	if least == nil {
		return nil
	}
	f.virtualTime = max(f.virtualTime, least.served)
	return least.tickets.Front().Value.(*Ticket)
}

// comesBefore reports whether flow a is served before flow b: the one with less service first, then the one whose oldest request
// arrived first.
func comesBefore(a, b *flow) bool {
	if a.served != b.served {
		return a.served < b.served
	}
	return a.tickets.Front().Value.(*Ticket).sequence < b.tickets.Front().Value.(*Ticket).sequence
}

func (f *fair) remove(t *Ticket, now time.Time) {
	fl := f.flows[t.request.Workspace]
	fl.rate.advance(now, true)
	fl.tickets.Remove(t.element)
	fl.queuedService -= t.request.Estimate
	f.total--
}

// grant removes a ticket that gets a slot and charges the workspace its estimate. Only a request that waited counts for the rate
// measurement.
func (f *fair) grant(t *Ticket, now time.Time) {
	f.remove(t, now)
	f.charge(t.request.Workspace, t.request.Estimate)
	if now.After(t.joined) {
		f.flows[t.request.Workspace].rate.record(t.request.Estimate)
	}
}

func (f *fair) charge(name wire.WorkspaceName, amount Service) {
	fl := f.flowOf(name)
	fl.served += amount / Service(fl.weight)
}

func (f *fair) waitingCount(name wire.WorkspaceName) int {
	if fl, found := f.flows[name]; found {
		return fl.tickets.Len()
	}
	return 0
}

// expectedWait estimates how long a new request of a workspace will wait: the service queued for the workspace, at the rate at
// which it was served while it had waiting requests. That rate already reflects what other workspaces received meanwhile. It
// returns false if no request of the workspace waits or if too little was measured.
func (f *fair) expectedWait(name wire.WorkspaceName, now time.Time) (time.Duration, bool) {
	fl, found := f.flows[name]
	if !found || fl.tickets.Len() == 0 {
		return 0, false
	}
	fl.rate.advance(now, true)
	return fl.rate.expectedWait(fl.queuedService)
}

package main

import (
	"sync"

	"cowslipshunt.example/wire"
)

// record tracks a request that has begun to run.
type record struct {
	mu       sync.Mutex
	received wire.EngineReceived
}

func (r *record) emit() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received.Emitted++
}

func (r *record) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received.Finished = true
}

// cancel marks the request as cancelled by its caller. It clears Finished, which is set before the answer's last write; that
// write can fail.
func (r *record) cancel() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received.Finished = false
	r.received.Cancelled = true
}

func (r *record) snapshot() wire.EngineReceived {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.received
}

func (e *engine) received() wire.EngineReceivedList {
	list := wire.EngineReceivedList{Requests: []wire.EngineReceived{}, Orders: e.orders.All()}
	for _, r := range e.requests.All() {
		list.Requests = append(list.Requests, r.snapshot())
	}
	return list
}

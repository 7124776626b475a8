package main

import (
	"sync"

	"cowslipshunt.example/wire"
)

// record follows one request that runs.
type record struct {
	mu   sync.Mutex
	kept wire.EngineReceived
}

func (r *record) emit() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kept.Emitted++
}

func (r *record) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kept.Finished = true
}

// cancel notes that the caller went away; a last write that failed was no finish.
func (r *record) cancel() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kept.Finished = false
	r.kept.Cancelled = true
}

func (r *record) copy() wire.EngineReceived {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.kept
}

func (e *engine) received() wire.EngineReceivedList {
	list := wire.EngineReceivedList{Requests: []wire.EngineReceived{}, Orders: e.ordered.All()}
	for _, r := range e.requests.All() {
		list.Requests = append(list.Requests, r.copy())
	}
	return list
}

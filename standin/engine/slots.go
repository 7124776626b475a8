package main

import (
	"container/heap"
	"context"
	"errors"
	"sync"
)

var errFull = errors.New("engine's queue is full")

// slots is the batch: a bounded number runs, each leaving at its own end, and a bounded number waits by priority.
type slots struct {
	mu         sync.Mutex
	maxRunning int
	maxWaiting int
	running    int
	arrivals   int
	waiting    ticketHeap
	changed    func(running, waiting int)
}

func newSlots(maxRunning, maxWaiting int, changed func(running, waiting int)) *slots {
	return &slots{maxRunning: maxRunning, maxWaiting: maxWaiting, changed: changed}
}

// acquire waits for a place in the batch. An error means that the request has no place and never had one.
func (s *slots) acquire(ctx context.Context, priority int) error {
	t, err := s.join(priority)
	if err != nil {
		return err
	}
	select {
	case <-t.granted:
	case <-ctx.Done():
	}
	if ctx.Err() == nil {
		return nil
	}
	s.giveUp(t)
	return context.Cause(ctx)
}

// release gives a place to the first that waits.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.passOn()
	s.changed(s.running, len(s.waiting))
}

func (s *slots) join(priority int) (*ticket, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &ticket{priority: priority, arrival: s.arrivals, granted: make(chan struct{}), index: notWaiting}
	s.arrivals++
	switch {
	case s.running < s.maxRunning:
		s.running++
		close(t.granted)
	case len(s.waiting) < s.maxWaiting:
		heap.Push(&s.waiting, t)
	default:
		return nil, errFull
	}
	s.changed(s.running, len(s.waiting))
	return t, nil
}

func (s *slots) giveUp(t *ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.index == notWaiting {
		s.passOn()
	} else {
		heap.Remove(&s.waiting, t.index)
	}
	s.changed(s.running, len(s.waiting))
}

func (s *slots) passOn() {
	if len(s.waiting) == 0 {
		s.running--
		return
	}
	next := heap.Pop(&s.waiting).(*ticket)
	close(next.granted)
}

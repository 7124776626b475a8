package main

import (
	"container/heap"
	"context"
	"errors"
	"sync"
)

var errFull = errors.New("engine's queue is full")

// slots admits requests to the batch. Up to maxRunning requests run and up to maxWaiting wait, ordered by priority; a place
// becomes free whenever one request ends.
type slots struct {
	mu         sync.Mutex
	maxRunning int
	maxWaiting int
	running    int
	arrivals   int
	waiting    ticketHeap
	onChange   func(running, waiting int)
}

func newSlots(maxRunning, maxWaiting int, onChange func(running, waiting int)) *slots {
	return &slots{maxRunning: maxRunning, maxWaiting: maxWaiting, onChange: onChange}
}

// acquire waits for a place in the batch. After an error, the request holds no place and must not release one.
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
	s.abandon(t)
	return context.Cause(ctx)
}

// release gives a place back, to the first waiting request if there is one.
func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
	s.onChange(s.running, len(s.waiting))
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
	s.onChange(s.running, len(s.waiting))
	return t, nil
}

func (s *slots) abandon(t *ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.index == notWaiting {
		s.releaseLocked()
	} else {
		heap.Remove(&s.waiting, t.index)
	}
	s.onChange(s.running, len(s.waiting))
}

func (s *slots) releaseLocked() {
	if len(s.waiting) == 0 {
		s.running--
		return
	}
	next := heap.Pop(&s.waiting).(*ticket)
	close(next.granted)
}

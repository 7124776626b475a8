package queue

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// wakeInterval is how often all queues are dispatched again, as no other event announces the end of an endpoint's pause.
const wakeInterval = 100 * time.Millisecond

// Set holds one queue for each model and service.
type Set struct {
	clock  clockwork.Clock
	mu     sync.Mutex
	queues map[string]*Queue
}

// NewSet returns an empty set that dispatches its queues every wakeInterval until ctx ends.
func NewSet(ctx context.Context, clock clockwork.Clock) *Set {
	s := &Set{clock: clock, queues: map[string]*Queue{}}
	go func() {
		ticker := clock.NewTicker(wakeInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.Chan():
				s.Wake()
			case <-ctx.Done():
				return
			}
		}
	}()
	return s
}

// Get returns the queue of a model or service, and creates it if needed. As queues are never removed, name must be one from the
// document, not any text that a caller sent.
func (s *Set) Get(name string) *Queue {
	s.mu.Lock()
	defer s.mu.Unlock()
	q, found := s.queues[name]
	if !found {
		q = New(s.clock)
		s.queues[name] = q
	}
	return q
}

// Wake dispatches every queue again.
func (s *Set) Wake() {
	for _, q := range s.snapshot() {
		q.Wake()
	}
}

// Waiting returns the number of waiting requests of each queue that has any.
func (s *Set) Waiting() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	waiting := map[string]int{}
	for name, q := range s.queues {
		if n := q.Waiting(); n > 0 {
			waiting[name] = n
		}
	}
	return waiting
}

func (s *Set) snapshot() []*Queue {
	s.mu.Lock()
	defer s.mu.Unlock()
	queues := make([]*Queue, 0, len(s.queues))
	for _, q := range s.queues {
		queues = append(queues, q)
	}
	return queues
}

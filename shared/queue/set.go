package queue

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// wakeEvery is how often queues look again for endpoints whose pause is over.
const wakeEvery = 100 * time.Millisecond

// Set holds a queue for each model and service.
type Set struct {
	clock  clockwork.Clock
	mu     sync.Mutex
	queues map[string]*Queue
}

// NewSet returns an empty set that wakes its queues until ctx ends.
func NewSet(ctx context.Context, clock clockwork.Clock) *Set {
	s := &Set{clock: clock, queues: map[string]*Queue{}}
	go func() {
		ticker := clock.NewTicker(wakeEvery)
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

// Get returns the queue of a name, which must be one of the document's.
func (s *Set) Get(name string) *Queue {
	s.mu.Lock()
	defer s.mu.Unlock()
	q, known := s.queues[name]
	if !known {
		q = New(s.clock)
		s.queues[name] = q
	}
	return q
}

// Wake serves every queue again.
func (s *Set) Wake() {
	for _, q := range s.list() {
		q.Wake()
	}
}

// Waiting counts the waiting requests of each queue that has some.
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

func (s *Set) list() []*Queue {
	s.mu.Lock()
	defer s.mu.Unlock()
	queues := make([]*Queue, 0, len(s.queues))
	for _, q := range s.queues {
		queues = append(queues, q)
	}
	return queues
}

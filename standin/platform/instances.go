package main

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

// Instances is the list of instances. Each change becomes visible after a lag.
type Instances struct {
	clock clockwork.Clock
	lag   time.Duration

	mu      sync.Mutex
	pending []instanceChange
	visible map[instanceKey]wire.InstanceRecord
}

type instanceKey struct {
	instance wire.InstanceName
	program  wire.Program
}

type instanceChange struct {
	at     time.Time
	record wire.InstanceRecord
}

// NewInstances returns an empty list.
func NewInstances(clock clockwork.Clock, lag time.Duration) *Instances {
	return &Instances{clock: clock, lag: lag, visible: map[instanceKey]wire.InstanceRecord{}}
}

// Put records a change, which the list shows after the lag. The instance's name must not be empty.
func (s *Instances) Put(r wire.InstanceRecord) error {
	if r.Instance == "" {
		return invalid("instance is missing")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, instanceChange{at: s.clock.Now(), record: r})
	return nil
}

// List returns the instances as they were one lag ago, ordered by name, then by program.
func (s *Instances) List() wire.InstanceList {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyPending(s.clock.Now().Add(-s.lag))
	list := wire.InstanceList{Instances: []wire.InstanceRecord{}}
	for _, r := range s.visible {
		list.Instances = append(list.Instances, r)
	}
	slices.SortFunc(list.Instances, func(a, b wire.InstanceRecord) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Program, b.Program))
	})
	return list
}

func (s *Instances) applyPending(until time.Time) {
	for len(s.pending) > 0 && !s.pending[0].at.After(until) {
		r := s.pending[0].record
		s.visible[instanceKey{r.Instance, r.Program}] = r
		s.pending = s.pending[1:]
	}
}

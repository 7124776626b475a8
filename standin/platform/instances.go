package main

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

// Instances is the list of instances; it shows each change after a lag.
type Instances struct {
	clock clockwork.Clock
	lag   time.Duration

	mu      sync.Mutex
	pending []instanceChange
	shown   map[instanceKey]wire.InstanceRecord
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
	return &Instances{clock: clock, lag: lag, shown: map[instanceKey]wire.InstanceRecord{}}
}

// Put takes a change; the list shows it after the lag.
func (s *Instances) Put(r wire.InstanceRecord) error {
	if r.Instance == "" {
		return invalid("instance is missing")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, instanceChange{at: s.clock.Now(), record: r})
	return nil
}

// List returns the instances as they were a lag ago, ordered by name.
func (s *Instances) List() wire.InstanceList {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.show(s.clock.Now().Add(-s.lag))
	list := wire.InstanceList{Instances: []wire.InstanceRecord{}}
	for _, r := range s.shown {
		list.Instances = append(list.Instances, r)
	}
	slices.SortFunc(list.Instances, func(a, b wire.InstanceRecord) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Program, b.Program))
	})
	return list
}

func (s *Instances) show(until time.Time) {
	for len(s.pending) > 0 && !s.pending[0].at.After(until) {
		r := s.pending[0].record
		s.shown[instanceKey{r.Instance, r.Program}] = r
		s.pending = s.pending[1:]
	}
}

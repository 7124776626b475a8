// Package drain decides when an endpoint is free of work, so that a planned change cuts nothing.
package drain

import (
	"slices"
	"time"

	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

// DefaultGoneAfter is how long an entry must be without a link and off the platform's list to count as gone. It is longer
// than the list's lag.
const DefaultGoneAfter = 10 * time.Second

// Tracker follows the drains of a failure domain and the entries that have to confirm them. It is for one goroutine.
type Tracker struct {
	clock     clockwork.Clock
	goneAfter time.Duration
	entries   []wire.InstanceName

	linked  map[wire.InstanceName]wire.IncarnationId
	absent  map[wire.InstanceName]time.Time
	answers map[wire.OrderId]map[wire.InstanceName]wire.DrainAnswer
}

// Option changes a tracker.
type Option func(*Tracker)

// WithGoneAfter sets how long an entry must be away to count as gone.
func WithGoneAfter(d time.Duration) Option {
	return func(t *Tracker) {
		t.goneAfter = d
	}
}

// NewTracker returns a tracker for the configured entries of a failure domain.
func NewTracker(clock clockwork.Clock, entries []wire.InstanceName, opts ...Option) *Tracker {
	t := &Tracker{
		clock:     clock,
		goneAfter: DefaultGoneAfter,
		entries:   entries,
		linked:    map[wire.InstanceName]wire.IncarnationId{},
		absent:    map[wire.InstanceName]time.Time{},
		answers:   map[wire.OrderId]map[wire.InstanceName]wire.DrainAnswer{},
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Reset forgets everything, for a new term of office.
func (t *Tracker) Reset() {
	clear(t.linked)
	clear(t.absent)
	clear(t.answers)
}

// Links takes in which peers are linked now. An answer counts only while the incarnation that gave it stays linked.
func (t *Tracker) Links(peers []wire.Hello) {
	clear(t.linked)
	for _, p := range peers {
		t.linked[p.Instance] = p.Incarnation
	}
	for _, answers := range t.answers {
		for name, a := range answers {
			if t.linked[name] != a.Incarnation {
				delete(answers, name)
			}
		}
	}
}

// Instances takes in the platform's list of instances.
func (t *Tracker) Instances(list []wire.InstanceRecord) {
	for _, name := range t.entries {
		live := slices.ContainsFunc(list, func(r wire.InstanceRecord) bool {
			return r.Instance == name && r.Program == wire.ProgramEntry && r.Phase == wire.InstancePhaseLive
		})
		_, linked := t.linked[name]
		if live || linked {
			delete(t.absent, name)
			continue
		}
		if _, ok := t.absent[name]; !ok {
			t.absent[name] = t.clock.Now()
		}
	}
}

// Answer takes in an entry's answer to a drain.
func (t *Tracker) Answer(a wire.DrainAnswer) {
	if t.answers[a.Order] == nil {
		t.answers[a.Order] = map[wire.InstanceName]wire.DrainAnswer{}
	}
	t.answers[a.Order][a.Instance] = a
}

// End forgets a drain.
func (t *Tracker) End(order wire.OrderId) {
	delete(t.answers, order)
}

// Waiting returns the entries that an order has to wait for; with none the endpoint is drained.
func (t *Tracker) Waiting(order wire.OrderId) []wire.InstanceName {
	var waiting []wire.InstanceName
	for _, name := range t.entries {
		if !t.gone(name) && !t.confirmed(order, name) {
			waiting = append(waiting, name)
		}
	}
	return waiting
}

func (t *Tracker) confirmed(order wire.OrderId, name wire.InstanceName) bool {
	a, ok := t.answers[order][name]
	incarnation, linked := t.linked[name]
	return ok && linked && a.Incarnation == incarnation && a.InFlight == 0
}

func (t *Tracker) gone(name wire.InstanceName) bool {
	since, ok := t.absent[name]
	_, linked := t.linked[name]
	return ok && !linked && t.clock.Since(since) >= t.goneAfter
}

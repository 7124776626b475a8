// Package drain decides when an endpoint has no requests left in flight, so that a planned change interrupts none.
package drain

import (
	"slices"
	"time"

	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

// DefaultGoneAfter is how long an entry must have no link and not be listed as live by the platform to count as gone. It is
// longer than the lag of the platform's list.
const DefaultGoneAfter = 10 * time.Second

// Tracker tracks the drains of a failure domain and the entries that have to confirm them. It is not safe for concurrent use.
type Tracker struct {
	clock     clockwork.Clock
	goneAfter time.Duration
	entries   []wire.InstanceName

	// linked holds the incarnation of each linked peer.
	linked map[wire.InstanceName]wire.IncarnationId
	// missingSince holds when an entry was first found to be neither linked nor live.
	missingSince map[wire.InstanceName]time.Time
	answers      map[wire.OrderId]map[wire.InstanceName]wire.DrainAnswer
}

// Option configures a tracker.
type Option func(*Tracker)

// WithGoneAfter replaces DefaultGoneAfter.
func WithGoneAfter(d time.Duration) Option {
	return func(t *Tracker) {
		t.goneAfter = d
	}
}

// NewTracker returns a tracker for the configured entries of a failure domain.
func NewTracker(clock clockwork.Clock, entries []wire.InstanceName, opts ...Option) *Tracker {
	t := &Tracker{
		clock:        clock,
		goneAfter:    DefaultGoneAfter,
		entries:      entries,
		linked:       map[wire.InstanceName]wire.IncarnationId{},
		missingSince: map[wire.InstanceName]time.Time{},
		answers:      map[wire.OrderId]map[wire.InstanceName]wire.DrainAnswer{},
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Reset removes all links, absences and answers when a new lease term begins.
func (t *Tracker) Reset() {
	clear(t.linked)
	clear(t.missingSince)
	clear(t.answers)
}

// SetLinks replaces the set of linked peers. It discards the answers of incarnations that are no longer linked: an answer counts
// only while its incarnation stays linked.
func (t *Tracker) SetLinks(peers []wire.Hello) {
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

// SetInstances applies the platform's list of instances. An entry that is neither linked nor listed as live counts as missing from
// the first such call on.
func (t *Tracker) SetInstances(list []wire.InstanceRecord) {
	for _, name := range t.entries {
		live := slices.ContainsFunc(list, func(r wire.InstanceRecord) bool {
			return r.Instance == name && r.Program == wire.ProgramEntry && r.Phase == wire.InstancePhaseLive
		})
		_, linked := t.linked[name]
		if live || linked {
			delete(t.missingSince, name)
			continue
		}
		if _, ok := t.missingSince[name]; !ok {
			t.missingSince[name] = t.clock.Now()
		}
	}
}

// RecordAnswer records an entry's answer to a drain; it replaces an earlier one.
func (t *Tracker) RecordAnswer(a wire.DrainAnswer) {
	if t.answers[a.Order] == nil {
		t.answers[a.Order] = map[wire.InstanceName]wire.DrainAnswer{}
	}
	t.answers[a.Order][a.Instance] = a
}

// End removes the answers to a drain.
func (t *Tracker) End(order wire.OrderId) {
	delete(t.answers, order)
}

// Waiting returns the entries that an order still has to wait for. If there are none, the endpoint is drained.
func (t *Tracker) Waiting(order wire.OrderId) []wire.InstanceName {
	var waiting []wire.InstanceName
	for _, name := range t.entries {
		if !t.isGone(name) && !t.confirmed(order, name) {
			waiting = append(waiting, name)
		}
	}
	return waiting
}

// confirmed reports whether the linked incarnation of an entry answered that it has no requests in flight at the endpoint.
func (t *Tracker) confirmed(order wire.OrderId, name wire.InstanceName) bool {
	a, ok := t.answers[order][name]
	incarnation, linked := t.linked[name]
	return ok && linked && a.Incarnation == incarnation && a.InFlight == 0
}

// isGone reports whether an entry has been neither linked nor live for goneAfter.
func (t *Tracker) isGone(name wire.InstanceName) bool {
	since, ok := t.missingSince[name]
	_, linked := t.linked[name]
	return ok && !linked && t.clock.Since(since) >= t.goneAfter
}

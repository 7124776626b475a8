package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cowslipshunt.example/serving/placement"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

// Event is a kind of change of what is in quarantine.
type Event int

// The events.
const (
	// Quarantined means that requests with all of the parts are rejected from now on.
	Quarantined Event = iota
	// Narrowed means that some of the parts are sound; requests with those that remain are rejected.
	Narrowed
	// Released means that all of the parts are sound.
	Released
	// Probed means that one request was let through.
	Probed
	// Extended means that a probe crashed an endpoint.
	Extended
)

// String returns the name of the event, which is logged.
func (e Event) String() string {
	return [...]string{"Quarantined", "Narrowed", "Released", "Probed", "Extended"}[e]
}

// Change is one change of what is in quarantine.
type Change struct {
	Event Event
	Parts []PartID
	// Left is how long the quarantine lasts.
	Left time.Duration
	// Crashes is how many endpoints crashed in the evidence of this instance; FromPeer is set if a peer reported the quarantine.
	Crashes  int
	FromPeer bool
}

// Table holds the evidence of an instance and its peers, and the parts in quarantine. It is safe for concurrent use.
type Table struct {
	clock    clockwork.Clock
	rank     func() int
	onChange func(Change)
	// held is the number of holds, active whether Next may have anything to report. They keep the lock out of the path of requests and
	// reports while there is nothing.
	held   atomic.Int32
	active atomic.Bool

	mu    sync.Mutex
	sound *soundParts
	// completed is when the last run completed that this instance knows of.
	completed time.Time
	log       crashLog
	holds     []*hold
	// explained holds the endpoints whose crash a hold explains.
	explained map[EndpointHash]bool
	announced map[PartID]*announcement
	// alive holds the endpoints that answered after runs had broken off there.
	alive map[EndpointHash]*alive
}

// Option configures a Table.
type Option func(*Table)

// WithRank sets the function that returns this instance's rank, from 0, among all live instances. It decides which of them lets a
// probe through first.
func WithRank(rank func() int) Option {
	return func(t *Table) {
		t.rank = rank
	}
}

// WithObserver sets a function that is called with each change. It must not call the table.
func WithObserver(onChange func(Change)) Option {
	return func(t *Table) {
		t.onChange = onChange
	}
}

// New returns a table without evidence.
func New(clock clockwork.Clock, opts ...Option) *Table {
	t := &Table{
		clock:     clock,
		rank:      func() int { return 0 },
		onChange:  func(Change) {},
		sound:     newSoundParts(),
		explained: map[EndpointHash]bool{},
		announced: map[PartID]*announcement{},
		alive:     map[EndpointHash]*alive{},
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Admit reports whether a request may be sent to an endpoint now. If not, it returns after what time the client should return.
func (t *Table) Admit(id wire.RequestId, p *placement.Prompt) (retryAfter time.Duration, admitted bool) {
	if t.held.Load() == 0 || len(p.Parts) < 2 {
		return 0, true
	}
	rank := t.rank()
	parts := partIDs(p)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for _, h := range t.holds {
		if !containsAll(parts, h.parts) {
			continue
		}
		known := h.probe
		if !h.admits(id, rank, now) {
			return max(h.until.Sub(now), minRetryAfter), false
		}
		if h.probe != known {
			t.report(Probed, h, now, false)
		}
	}
	return 0, true
}

// Holds reports whether a prompt is in quarantine. Unlike Admit it lets no probe through.
func (t *Table) Holds(p *placement.Prompt) bool {
	if t.held.Load() == 0 || len(p.Parts) < 2 {
		return false
	}
	parts := partIDs(p)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holdOf(parts) != nil
}

// Crashed records that a run broke off before its endpoint had answered, or when the answer had just begun. It reports whether the prompt is
// suspected of crashing endpoints, so that the request should not be sent again: it has a part that no run is known to have completed with,
// and that broke off at another endpoint before.
func (t *Table) Crashed(k roster.Key, p *placement.Prompt, sent time.Time) (suspected bool) {
	parts := partIDs(p)
	if len(parts) == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active.Store(true)
	now := t.clock.Now()
	if len(parts) > maxParts {
		slices.SortStableFunc(parts, func(a, b PartID) int { return t.provenOrder(a) - t.provenOrder(b) })
		parts = slices.Sorted(slices.Values(parts[:maxParts]))
	}
	if h := t.holdOf(parts); h != nil && h.probe != "" {
		h.extend(now)
		t.report(Extended, h, now, false)
	}
	t.addCrash(&crash{endpoint: hashEndpoint(k), parts: parts, sent: sent, failed: now, learned: now, shares: maxShares})
	return slices.ContainsFunc(parts, func(p PartID) bool {
		return !t.isProven(p) && len(endpointsOf(t.evidence(p, now))) >= suspectEndpoints
	})
}

func (t *Table) provenOrder(p PartID) int {
	if t.isProven(p) {
		return 1
	}
	return 0
}

// Completed records that an endpoint has answered a run completely.
func (t *Table) Completed(p *placement.Prompt) {
	shared := sharedParts(p)
	if len(shared) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for _, part := range shared {
		id := NewPartID(part.Name)
		t.recordSound(id, now)
		if t.active.Load() {
			t.announceIfSuspected(id, now)
		}
	}
}

// recordSound records that a run with a part completed, and takes the part from the holds.
func (t *Table) recordSound(p PartID, at time.Time) {
	if at.After(t.completed) {
		t.completed = at
	}
	if !t.sound.record(p, at) || len(t.holds) == 0 {
		return
	}
	now := t.clock.Now()
	changed := false
	for _, h := range t.holds {
		if !t.dropSound(h) {
			continue
		}
		changed = true
		h.shares = maxShares
		if len(h.parts) > 0 {
			t.report(Narrowed, h, now, false)
		} else {
			t.report(Released, &hold{parts: []PartID{p}}, now, false)
		}
	}
	if changed {
		t.announceSound([]PartID{p}, now)
		t.normalizeHolds()
	}
}

// normalizeHolds drops the holds without parts and merges those that have come to have the same ones.
func (t *Table) normalizeHolds() {
	holds := t.holds
	t.holds = nil
	for _, h := range holds {
		if len(h.parts) > 0 {
			t.put(h)
		}
	}
	t.updateExplained()
}

// announceIfSuspected has the peers told that a part is sound if any crash counts against it.
func (t *Table) announceIfSuspected(p PartID, now time.Time) {
	for _, c := range t.log.crashes {
		if _, found := slices.BinarySearch(c.parts, p); found {
			t.announceSound([]PartID{p}, now)
			return
		}
	}
}

// announceSound has the peers told which of some parts are sound.
func (t *Table) announceSound(parts []PartID, now time.Time) {
	for _, p := range parts {
		a, announced := t.announced[p]
		if !t.isProven(p) || announced && now.Sub(a.at) < soundInterval {
			continue
		}
		t.announced[p] = &announcement{shares: maxShares, at: now}
	}
}

// addCrash adds a crash to the evidence and puts into quarantine what has enough evidence against it.
func (t *Table) addCrash(c *crash) {
	if t.wasAlive(c) || !t.log.add(c) {
		return
	}
	t.explain(c)
	t.announceSound(c.parts, c.learned)
	t.evaluate(c, c.learned)
}

// evaluateAll puts into quarantine what has enough evidence against it now, as evidence that fits several parts counts only later.
func (t *Table) evaluateAll(now time.Time) {
	for _, c := range t.log.crashes {
		if age := now.Sub(c.learned); age >= settleTime && age < 2*settleTime+soundInterval {
			t.evaluate(c, now)
		}
	}
}

// evaluate puts the parts of a crash into quarantine that have enough evidence against them.
func (t *Table) evaluate(c *crash, now time.Time) {
	for !t.explained[c.endpoint] {
		var strongest *suspect
		for _, p := range c.parts {
			if s := t.suspectOf(p, now); s.strongerThan(strongest) {
				strongest = s
			}
		}
		if strongest == nil {
			return
		}
		h := &hold{parts: strongest.parts, first: strongest.first, until: now.Add(firstHold), shares: maxShares}
		if !t.put(h) {
			return
		}
		t.report(Quarantined, h, now, false)
	}
}

// report passes a change to the observer.
func (t *Table) report(e Event, h *hold, now time.Time, fromPeer bool) {
	crashes := endpointsOf(t.log.with(h.parts[0], func(*crash) bool { return true }))
	t.onChange(Change{Event: e, Parts: slices.Clone(h.parts), Left: h.until.Sub(now), Crashes: len(crashes), FromPeer: fromPeer})
}

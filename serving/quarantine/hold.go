package quarantine

import (
	"slices"
	"time"

	"cowslipshunt.example/wire"
)

// Bounds of a hold.
const (
	// firstHold is how long a part is in quarantine at first; it doubles up to maxHold with each probe that crashes an endpoint.
	firstHold    = time.Minute
	maxHold      = time.Hour
	maxDoublings = 6
	// probeStagger separates the times from which the instances may let a probe through, in the order of their ranks.
	probeStagger = 10 * time.Second
	// probeTimeout is how long a probe without a result keeps others from being let through.
	probeTimeout = 30 * time.Second
	// maxHolds bounds the holds; a new one takes the place of the one that ends first.
	maxHolds = 64
	// minRetryAfter is the shortest time after which a rejected client should return.
	minRetryAfter = time.Second
)

// hold keeps requests from all endpoints whose prompts have all of a set of parts. It has several parts only while the evidence does not
// tell which of them is at fault.
type hold struct {
	parts []PartID
	// first is when the first of the crashes happened. A run that completes with a part later shows that the part is sound.
	first time.Time
	// until is when a probe may be let through; level counts the probes that failed.
	until time.Time
	level int
	// probe is the request that was let through at probedAt, or empty.
	probe    wire.RequestId
	probedAt time.Time
	// shares is in how many more reports the hold is sent to the peers.
	shares int
}

// duration returns how long a hold lasts after a number of failed probes.
func duration(level int) time.Duration {
	return min(firstHold<<min(level, maxDoublings), maxHold)
}

// admits reports whether a request may pass. It may as a probe, once the hold has lasted long enough for an instance of the given rank.
func (h *hold) admits(id wire.RequestId, rank int, now time.Time) bool {
	if h.probe == id && h.probe != "" {
		return true
	}
	if h.probe != "" && now.Sub(h.probedAt) < probeTimeout || now.Before(h.until.Add(time.Duration(rank)*probeStagger)) {
		return false
	}
	h.probe, h.probedAt = id, now
	return true
}

// extend renews the hold after a probe has failed.
func (h *hold) extend(now time.Time) {
	h.level++
	h.probe = ""
	h.until = now.Add(duration(h.level))
	h.shares = maxShares
}

// merge takes the end of another hold of the same parts if more probes have failed there. Otherwise the end stays: it would move on with
// the delay of each report.
func (h *hold) merge(other *hold) {
	if other.level > h.level {
		h.level, h.until, h.probe = other.level, other.until, ""
	}
	if other.first.Before(h.first) {
		h.first = other.first
	}
}

// put adds a hold, or merges it with those of the same parts. A hold whose parts include all parts of another one is dropped, as the
// other one holds all its requests. It reports whether the hold is new.
func (t *Table) put(h *hold) bool {
	for _, known := range t.holds {
		switch {
		case slices.Equal(known.parts, h.parts):
			known.merge(h)
			return false
		case containsAll(h.parts, known.parts):
			return false
		}
	}
	t.holds = slices.DeleteFunc(t.holds, func(known *hold) bool { return containsAll(known.parts, h.parts) })
	if len(t.holds) >= maxHolds {
		earliest := t.earliest()
		t.holds = slices.DeleteFunc(t.holds, func(known *hold) bool { return known == earliest })
	}
	t.holds = append(t.holds, h)
	t.updateExplained()
	return true
}

// earliest returns the hold that ends first.
func (t *Table) earliest() *hold {
	return slices.MinFunc(t.holds, func(a, b *hold) int { return a.until.Compare(b.until) })
}

// updateExplained finds the endpoints whose crash the holds explain.
func (t *Table) updateExplained() {
	t.held.Store(int32(len(t.holds)))
	clear(t.explained)
	for _, c := range t.log.crashes {
		t.explain(c)
	}
}

// explain marks the endpoint of a crash as explained if its prompt is in quarantine.
func (t *Table) explain(c *crash) {
	if t.holdOf(c.parts) != nil {
		t.explained[c.endpoint] = true
	}
}

// holdOf returns a hold all of whose parts are in a sorted set, or nil.
func (t *Table) holdOf(parts []PartID) *hold {
	for _, h := range t.holds {
		if containsAll(parts, h.parts) {
			return h
		}
	}
	return nil
}

// dropSound takes the parts from a hold that are known to be sound: those that a run has completed with since the first crash, and,
// if there are others that no run has ever completed with, all that a run has completed with. It reports whether the hold has changed.
func (t *Table) dropSound(h *hold) bool {
	anyUnproven := slices.ContainsFunc(h.parts, func(p PartID) bool { return !t.isProven(p) })
	n := len(h.parts)
	h.parts = slices.DeleteFunc(h.parts, func(p PartID) bool {
		last, proven := t.sound.last(p)
		return proven && (anyUnproven || last.After(h.first))
	})
	return len(h.parts) < n
}

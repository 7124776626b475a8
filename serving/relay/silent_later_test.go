package relay_test

import (
	"fmt"
	"io"
	"slices"
	"time"

	"cowslipshunt.example/serving/relay"
	"pgregory.net/rapid"
)

// laterRun is what an endpoint does with a run of a request beyond its first one.
type laterRun struct {
	rejects bool
	// After so many events it is silent for a time, or breaks off after that time.
	after  int
	breaks bool
	wait   time.Duration
	// done is set once it was silent.
	done bool
}

// drawLaterRun draws what goes wrong with a run, or nothing.
func drawLaterRun(t *rapid.T) *laterRun {
	r := &laterRun{}
	switch rapid.SampledFrom([]string{"rejects", "is silent", "breaks off", "is sound"}).Draw(t, "a later run") {
	case "rejects":
		r.rejects = true
	case "is silent":
		r.after, r.wait = rapid.IntRange(0, 2).Draw(t, "silent after"), drawTicks(t, 200*time.Millisecond, 2*time.Second, "silent for")
	case "breaks off":
		r.breaks, r.after, r.wait = true, rapid.IntRange(0, 1).Draw(t, "breaks after"), drawTicks(t, 0, headOverlap+100*time.Millisecond, "breaks off after")
	default:
		return nil
	}
	return r
}

// interrupt lets happen what is planned for a run before its next event.
func (b *fleetBody) interrupt() error {
	l := b.send.later
	if l == nil || l.rejects || l.done || b.next-b.first != l.after {
		return nil
	}
	now := b.fleet.now()
	l.done = true
	if !l.breaks {
		b.fleet.mu.Lock()
		defer b.fleet.mu.Unlock()
		b.send.silences = append(b.send.silences, span{now, now + l.wait})
		return nil
	}
	if err := b.fleet.await(b.ctx, b.send, now+l.wait); err != nil {
		return err
	}
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	b.send.broken, b.send.brokenAt = true, b.fleet.now()
	return io.ErrUnexpectedEOF
}

// checkLeft checks that no stream is given up that a sound endpoint would have completed: the endpoint that took it over broke off before its first
// event, soon after its head. The first endpoint is sound if it has not broken off, and could be kept if it was left for that one.
func (w *world) checkLeft(r *plannedRequest, c *worldCaller, sends []*fleetSend) string {
	if c.ended || c.finished >= r.at+worldTimeout || r.leavesAfter > 0 && c.finished >= r.at+r.leavesAfter {
		return ""
	}
	if c.refusal != nil && c.refusal.Verdict == relay.NotRun {
		return ""
	}
	ran := runs(sends)
	for i, s := range ran {
		if s.broken || !r.isStream() {
			continue
		}
		for _, n := range ran[i+1:] {
			if n.brokeEarly() && n.head <= s.ended && s.ended <= n.brokenAt+headOverlap {
				return fmt.Sprintf("LOST: %s was left at %v for %s, which broke off at %v before its first event", s.endpoint.entry.ID, s.ended, n.endpoint.entry.ID, n.brokenAt)
			}
		}
	}
	return ""
}

// brokeEarly reports whether a run of a stream broke off before its first event, soon after its head.
func (s *fleetSend) brokeEarly() bool {
	return s.broken && s.head >= 0 && len(s.data) == 0 && s.brokenAt < s.head+headOverlap
}

// planLater gives a run what is planned for it. The lock is held.
func (f *silentFleet) planLater(s *fleetSend) {
	if s.prefill {
		return
	}
	earlier := 0
	for _, o := range f.sends {
		if o.request == s.request && !o.prefill {
			earlier++
		}
	}
	if n := earlier - 1; n >= 0 && n < len(s.request.laterRuns) {
		s.later = s.request.laterRuns[n]
	}
}

// rejects reports whether the endpoint rejects a send whatever places it has.
func (s *fleetSend) rejects() bool {
	if s.later != nil && s.later.rejects {
		return true
	}
	return slices.ContainsFunc(s.endpoint.rejecting, func(r span) bool { return r.contains(s.reached) })
}

package relay_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
)

// Slack of the checks.
const (
	// overlap is how long a stream may still run at an endpoint once another one has begun to go on with it.
	overlap = 400 * time.Millisecond
	// leavingTime is how long sends may go on without a caller.
	leavingTime = 50 * time.Millisecond
	// headOverlap is how long a stream is kept at an endpoint once another one has sent the head of its answer.
	headOverlap = 250 * time.Millisecond
)

// faults returns what is wrong with what has happened in a world, each fault with a name.
func (w *world) faults() []string {
	var faults []string
	for _, r := range w.plan.requests {
		var sends []*fleetSend
		for _, s := range w.fleet.sends {
			if s.request == r {
				sends = append(sends, s)
			}
		}
		for _, check := range []func(*plannedRequest, *worldCaller, []*fleetSend) string{w.checkLost, w.checkLeft, w.checkOrder, w.checkTwice, w.checkAttempts,
			w.checkMetering, w.checkKept, w.checkGone, w.checkBodies} {
			if fault := check(r, w.callers[r.ID], sends); fault != "" {
				faults = append(faults, fault+"\n"+w.trace(r))
			}
		}
	}
	return slices.Concat(faults, w.checkBudget(plainService), w.checkBudget(engineService), w.checkLoad(), w.checkCaches())
}

// runs returns the sends that ran a request, or may have.
func runs(sends []*fleetSend) []*fleetSend {
	var runs []*fleetSend
	for _, s := range sends {
		if s.accepted && !s.prefill {
			runs = append(runs, s)
		}
	}
	return runs
}

// checkLost checks that a request whose endpoints are sound has a complete answer, or is refused as not run when it has not run.
func (w *world) checkLost(r *plannedRequest, c *worldCaller, sends []*fleetSend) string {
	ran := len(runs(sends)) > 0
	if c.refusal != nil && c.refusal.Verdict == relay.NotRun {
		if ran {
			return "LOST: refused as not run, but it has run"
		}
		return ""
	}
	excused := c.finished >= r.at+worldTimeout || r.leavesAfter > 0 && c.finished >= r.at+r.leavesAfter ||
		slices.ContainsFunc(sends, func(s *fleetSend) bool { return s.broken })
	if whole := c.ended || c.status == 200 && c.body == "whole"; !whole && !excused {
		return "LOST: no complete answer, though all endpoints were sound"
	}
	return ""
}

// checkOrder checks that a stream has its events once and in order, and all of them if it is complete.
func (w *world) checkOrder(r *plannedRequest, c *worldCaller, _ []*fleetSend) string {
	for i, e := range c.events {
		if e != fmt.Sprintf("id: %d\n\n", i+1) {
			return fmt.Sprintf("ORDER: event %d is %q", i+1, e)
		}
	}
	if c.ended && len(c.events) != r.events {
		return fmt.Sprintf("ORDER: a complete stream has %d of %d events", len(c.events), r.events)
	}
	return ""
}

// checkTwice checks that only a request that may be repeated runs at two endpoints, and that the first one is left when another one goes on.
func (w *world) checkTwice(r *plannedRequest, _ *worldCaller, sends []*fleetSend) string {
	ran := runs(sends)
	if len(ran) > 1 && (strings.HasPrefix(r.path, "/once/") || strings.HasPrefix(r.path, "/stream/")) {
		return fmt.Sprintf("TWICE: ran at %d endpoints", len(ran))
	}
	if !strings.HasPrefix(r.path, "/resume/") {
		return ""
	}
	for i, s := range ran {
		for _, next := range ran[i+1:] {
			// It does not go on where it is given up with its first event, as the first endpoint has sent one at the same moment.
			if len(next.data) > 0 && next.ended > next.data[0] && s.ended > next.data[0]+overlap {
				return fmt.Sprintf("TWICE: %s is left at %v, and %s goes on from %v", s.endpoint.entry.ID, s.ended, next.endpoint.entry.ID, next.data[0])
			}
		}
	}
	return ""
}

// checkAttempts checks that a request runs at no more endpoints than it may.
func (w *world) checkAttempts(_ *plannedRequest, _ *worldCaller, sends []*fleetSend) string {
	most := 0
	for _, t := range w.plan.tables {
		most = max(most, t.maxAttempts)
	}
	if n := len(runs(sends)); n > most {
		return fmt.Sprintf("BUDGET: ran at %d endpoints, of at most %d", n, most)
	}
	return ""
}

// checkMetering checks that a request is metered once if it was answered, and never if it has not run as far as the relay can know: a
// rejection that did not arrive may have been an answer.
func (w *world) checkMetering(r *plannedRequest, c *worldCaller, sends []*fleetSend) string {
	n := w.metered[wire.WorkspaceName(r.ID)]
	ran := slices.ContainsFunc(sends, func(s *fleetSend) bool { return !s.prefill && s.reached >= 0 && (!s.rejected || s.head < 0) })
	switch {
	case n > 1, n > 0 && !ran:
		return fmt.Sprintf("METERING: metered %d times, ran: %v", n, ran)
	case n == 0 && c.status != 0:
		return "METERING: answered and not metered"
	}
	return ""
}

// checkGone checks that no send goes on without a caller.
func (w *world) checkGone(r *plannedRequest, c *worldCaller, sends []*fleetSend) string {
	gone := c.finished
	if r.leavesAfter > 0 {
		gone = min(gone, r.at+r.leavesAfter)
	}
	for _, s := range sends {
		if s.ended < 0 || s.ended > gone+leavingTime {
			return fmt.Sprintf("GONE: the caller is gone at %v, the send to %s ends at %v", gone, s.endpoint.entry.ID, s.ended)
		}
	}
	if c.served > gone+leavingTime {
		return fmt.Sprintf("GONE: the caller is gone at %v, the relay is done at %v", gone, c.served)
	}
	return ""
}

// checkBodies checks that each answer is closed.
func (w *world) checkBodies(_ *plannedRequest, _ *worldCaller, sends []*fleetSend) string {
	for _, s := range sends {
		if s.opened > 0 && s.closed == 0 {
			return "LEAK: an answer of " + string(s.endpoint.entry.ID) + " was not closed"
		}
	}
	return ""
}

// checkLoad checks that no endpoint has load left.
func (w *world) checkLoad() []string {
	var faults []string
	for id, e := range w.directory.View().All() {
		if e.OwnInFlight() != 0 || e.OwnPrefillLoad() != 0 {
			faults = append(faults, fmt.Sprintf("LEAK: %s has %d requests and %d tokens left", id, e.OwnInFlight(), e.OwnPrefillLoad()))
		}
	}
	for id, e := range w.fleet.endpoints {
		if e.running != 0 || len(e.waiting) != 0 {
			faults = append(faults, fmt.Sprintf("LEAK: %s runs %d requests still, %d wait", id, e.running, len(e.waiting)))
		}
	}
	return faults
}

// checkCaches checks that each KV cache that the relay knows was fetched or freed.
func (w *world) checkCaches() []string {
	var faults []string
	for _, s := range w.fleet.sends {
		if s.handle != "" && !w.fleet.settled[s.handle] {
			faults = append(faults, "LEAK: a KV cache was neither fetched nor freed\n"+w.trace(s.request))
		}
	}
	return faults
}

// checkBudget checks that the sends to a service beyond the first of each request are within the retry budget, in each window. Requests are
// counted in that window, the one before it or the one half a window before it, whichever has most.
func (w *world) checkBudget(service wire.ServiceName) []string {
	engines := service == engineService
	var requests, repeats []time.Duration
	for _, r := range w.plan.requests {
		if r.isStream() != engines {
			continue
		}
		requests = append(requests, r.at)
		repeats = append(repeats, w.repeats(r)...)
	}
	slices.Sort(repeats)
	for _, to := range repeats {
		// Between its taking and its arrival a retry takes no longer than a connection.
		from := to - worldWindow + 2*connectTime
		n, most := countIn(repeats, from, to), 0
		for _, earlier := range []time.Duration{0, worldWindow / 2, worldWindow} {
			most = max(most, countIn(requests, to-worldWindow-earlier, to-earlier))
		}
		ratio, slack := w.greatestBudget(from-connectTime, to)
		if allowed := ratio*float64(most) + slack; float64(n) > allowed {
			fault := fmt.Sprintf("BUDGET: %d repeats to %s from %v to %v, %.2f allowed: %v", n, service, from, to, allowed, repeats)
			for _, r := range w.plan.requests {
				if r.isStream() == engines && len(w.repeats(r)) > 0 {
					fault += "\n" + w.trace(r)
				}
			}
			return []string{fault}
		}
	}
	return nil
}

// repeats returns the times of a request's sends beyond the first. A first prefill that is accepted does not count.
func (w *world) repeats(r *plannedRequest) []time.Duration {
	var times []time.Duration
	free := true
	for _, s := range w.fleet.sends {
		if s.request != r || s.reached < 0 {
			continue
		}
		if !free || !s.prefill || s.handle == "" {
			times = append(times, s.reached)
		}
		free = false
	}
	return times[min(1, len(times)):]
}

// countIn counts the times in a window that includes both its ends.
func countIn(times []time.Duration, from, to time.Duration) int {
	n := 0
	for _, t := range times {
		if from <= t && t <= to {
			n++
		}
	}
	return n
}

// greatestBudget returns the greatest ratio and slack that were in force in a window.
func (w *world) greatestBudget(from, to time.Duration) (ratio, slack float64) {
	for i, c := range w.plan.budget {
		if c.at <= to && (i+1 == len(w.plan.budget) || w.plan.budget[i+1].at >= from) {
			ratio, slack = max(ratio, c.ratio), max(slack, c.slack)
		}
	}
	return ratio, slack
}

// stageName names the endpoints of a stage.
func stageName(s roster.Stage) string {
	return [...]string{"plain", "prefill", "decode"}[s]
}

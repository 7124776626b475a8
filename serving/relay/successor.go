package relay

import (
	"context"
	"slices"
	"time"

	"cowslipshunt.example/serving/placement"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/serving/route"
)

// newSuccessor returns a send to another endpoint of what the first one of a handover was asked for. It is taken from the retry budget. If there
// is none, newSuccessor returns the reason.
func (j *job) newSuccessor(ctx context.Context, h *handover) (n *send, reason string) {
	e, reason := j.chooseSuccessor(h)
	switch {
	case e == nil:
		return nil, reason
	case h.first.attempt.PrefillOnly:
		if !j.payPrefill() {
			return nil, budgetReason
		}
		return j.newPrefill(ctx, e), ""
	case !j.takeRetry():
		return nil, budgetReason
	}
	return j.newRun(ctx, e, nil), ""
}

// chooseSuccessor returns the next endpoint that a handover may ask, or nil and the reason.
func (j *job) chooseSuccessor(h *handover) (e *roster.Endpoint, reason string) {
	prefill := h.first.attempt.PrefillOnly
	switch {
	case prefill && j.prefills >= maxPrefillAttempts, !prefill && j.runsWith(h) >= j.route.MaxAttempts:
		return nil, "no attempt is left"
	case j.sequence.unnumbered:
		return nil, "the last event has no id to resume the stream from"
	case j.suspected, j.relay.quarantine.Holds(&j.request.Prompt):
		return nil, quarantineReason
	}
	need, now := j.needElsewhere(h.first.endpoint), j.relay.clock.Now()
	for _, n := range slices.Concat(h.asked, h.begun) {
		need.Excluded = append(need.Excluded, n.endpoint.Entry().ID)
	}
	eligible := j.endpoints(need)
	switch {
	case prefill:
		e = placement.ChoosePrefill(eligible, &j.request.Prompt, need, now)
	case j.service.Engine != nil:
		e = placement.ChooseDecode(eligible, &j.request.Prompt, need, now)
	default:
		e = placement.LeastBusy(eligible, need, j.tieBreak)
	}
	return e, "no other endpoint is open"
}

// runsWith returns how often the request may have run, with the sends in progress.
func (j *job) runsWith(h *handover) int {
	runs := j.possibleRuns + len(h.asked)
	if !h.first.received {
		runs++
	}
	return runs
}

// payPrefill takes a further prefill from the retry budget, and the send after it that runs the request: without that the prompt would be
// prefilled for nothing.
func (j *job) payPrefill() bool {
	retries, now := 2, j.relay.clock.Now()
	if j.sendIsPaid {
		retries = 1
	}
	if !j.budget.TakeRetries(now, retries) {
		return false
	}
	j.payNext(now)
	j.tookRetry = true
	return true
}

// giveUpPrefill ends a prefill that no other engine can take over, if a decode engine is open that can prefill the prompt itself and the retry
// budget allows the send there. The send is taken from the budget.
func (j *job) giveUpPrefill(h *handover) bool {
	if len(j.endpoints(j.need(roster.Decode))) == 0 || !j.takeRetry() {
		return false
	}
	j.payNext(j.relay.clock.Now())
	j.prefills = maxPrefillAttempts
	j.endHandover(h)
	if !h.firstFailed {
		j.handover = nil
	}
	h.first.watchdog.cancel(errNoData)
	return true
}

// askTimeout returns how long an endpoint may take to accept a request from a silent one before another one is asked, too.
func (j *job) askTimeout(n *send) time.Duration {
	if n.attempt.PrefillOnly {
		return j.prefillTimeout(n.endpoint)
	}
	limit := responseTimeoutGoals * j.route.Goal
	if j.route.Kind == route.Stream {
		limit += j.prefillEstimate(n.endpoint)
	}
	return limit
}

// observeSilence passes on that another endpoint is asked, and avoids the first one if it is the silent one. The others have had the request for
// a short time only, and slow requests must not close a whole fleet.
func (j *job) observeSilence(h *handover, s, n *send) {
	if s == h.first {
		s.silent = true
		j.pause = s.endpoint.MarkRejected(j.relay.clock.Now())
	}
	j.observe("Silent", s.exchange, 0, "the endpoint is silent; asking "+string(n.endpoint.Entry().ID), nil)
}

// observeWait passes on the decision to wait longer for a silent endpoint.
func (j *job) observeWait(s *send, reason string) {
	d := j.decision("Waited", "the endpoint is silent, and "+reason, nil)
	d.Endpoint = s.endpoint.Entry().ID
	j.relay.observer.Decided(d)
}

package relay

import (
	"context"
	"errors"
	"io"

	"cowslipshunt.example/serving/placement"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/serving/route"
)

// budgetReason is why a request is not sent again, or not taken from a silent endpoint, if the retry budget allows no send.
const budgetReason = "the retry budget is spent"

// run sends the request to one endpoint after another until the caller has an answer or no further send is possible.
func (j *job) run(ctx context.Context) {
	for {
		if !j.mayRun() {
			j.fail(ctx, "no attempt is left")
			return
		}
		if j.withheld() {
			j.fail(ctx, quarantineReason)
			return
		}
		e := j.chooseEndpoint(ctx)
		if ctx.Err() != nil {
			j.fail(ctx, endReason(ctx))
			return
		}
		// A prefill may have taken long.
		if j.withheld() {
			j.fail(ctx, quarantineReason)
			return
		}
		if e == nil {
			j.fail(ctx, "no endpoint is open")
			return
		}
		if !j.allowSend() {
			j.fail(ctx, budgetReason)
			return
		}
		if j.sendTo(ctx, e) {
			return
		}
		if ctx.Err() != nil {
			j.fail(ctx, endReason(ctx))
			return
		}
	}
}

// chooseEndpoint returns the endpoint of the next send, or nil if none is available. For a service of model engines it may have
// the prompt prefilled at another endpoint first.
func (j *job) chooseEndpoint(ctx context.Context) *roster.Endpoint {
	if j.service.Engine == nil {
		need := j.need(roster.NoStage)
		return placement.LeastBusy(j.endpoints(need), need, j.tieBreak)
	}
	return j.chooseEngine(ctx)
}

// sendTo sends the request to an endpoint once and reports whether the caller's request is finished.
func (j *job) sendTo(ctx context.Context, e *roster.Endpoint) bool {
	tokens := j.uncachedTokens(e)
	if j.source != nil {
		tokens = 0
	}
	release := j.countInFlight(e, tokens)
	defer release()
	w := newWatchdog(ctx, j.relay.clock, j.responseTimeout(e), j.mayMove(e))
	defer w.close()
	j.beginExchange(e)
	attempt := j.newAttempt()
	a, err := j.relay.sender.Send(w.ctx, e, attempt)
	w.pause()
	err = w.explain(err)
	j.relay.noteSent(e, attempt, a, sourceRequest)
	if j.recordUnsent(ctx, e, err) {
		return false
	}
	j.sent++
	if err != nil {
		j.possibleRuns++
		j.meterOnce()
		j.source = nil
		j.recordFailure(ctx, e, err)
		return false
	}
	defer a.Body.Close()
	j.exchange.status = a.Status
	if a.NotRun || a.Misdirected {
		j.recordRejection(e, a)
		return false
	}
	j.possibleRuns++
	j.source = nil
	j.recordCachedParts(e)
	if j.route.Kind == route.Stream && a.Success() && (a.EventStream || !j.streaming) {
		return j.forwardStream(ctx, w, e, a)
	}
	return j.forwardAnswer(ctx, e, a)
}

// recordRejection records that an endpoint did not run the request or the prefill. A KV cache that was prefilled for it is freed.
func (j *job) recordRejection(e *roster.Endpoint, a *Answer) {
	j.exchange.end(j.relay.clock.Now(), nil)
	j.excluded = append(j.excluded, e.Entry().ID)
	if a.Misdirected {
		j.pause = e.MarkFailed(j.relay.clock.Now())
	} else {
		j.pause = e.MarkRejected(j.relay.clock.Now())
	}
	j.freeSource()
	j.observe("Rejected", e, a.Status, "the endpoint did not run the request; this request avoids the endpoint", nil)
}

// forwardAnswer passes on an answer that is not a stream and reports whether the caller's request is finished. A server error is
// not passed on if the request can be repeated at another endpoint. If the caller has already received the head of a stream, nothing is
// passed on, and another endpoint may resume the stream.
func (j *job) forwardAnswer(ctx context.Context, e *roster.Endpoint, a *Answer) bool {
	j.meterOnce()
	if j.streaming {
		j.rejectResumption(e, a)
		return false
	}
	body, err := a.Body.All()
	if err != nil {
		j.recordFailure(ctx, e, err)
		return false
	}
	if a.Status >= 500 && j.mayRun() && j.canRetryElsewhere(e) {
		j.exchange.end(j.relay.clock.Now(), nil)
		j.excluded = append(j.excluded, e.Entry().ID)
		j.observe("Retried", e, a.Status, "the endpoint answered with a server error; retrying at another endpoint", nil)
		return false
	}
	if a.Status < 500 {
		j.recordSuccess(e)
	}
	if a.Success() {
		j.relay.quarantine.Completed(&j.request.Prompt)
	}
	if promisesNotRun(a.Status) {
		j.observe("Withheld", e, a.Status, "clients would take the status as a promise that the request has not run", nil)
		j.refuse(Refusal{Verdict: Unknown, Reason: "the endpoint refused the request without saying whether it ran"})
		return true
	}
	j.observe("Answered", e, a.Status, "", nil)
	j.caller.Answer(a.Status, a.Header, body)
	return true
}

// canRetryElsewhere reports whether an endpoint other than e is available, the retry budget allows another send and the prompt is not in
// quarantine. It takes nothing from the budget; allowSend does that just before the send.
func (j *job) canRetryElsewhere(e *roster.Endpoint) bool {
	return !j.relay.quarantine.Holds(&j.request.Prompt) && len(j.endpoints(j.needElsewhere(e))) > 0 && j.budget.CanRetry(j.relay.clock.Now())
}

// needElsewhere returns the requirements on an endpoint of the same stage other than e.
func (j *job) needElsewhere(e *roster.Endpoint) placement.Need {
	need := j.need(e.Entry().Stage)
	need.Excluded = append(need.Excluded[:len(need.Excluded):len(need.Excluded)], e.Entry().ID)
	return need
}

// forwardStream passes on the events of a stream as they arrive and reports whether the caller's request is finished. An event that may not
// follow the last one is not passed on; the stream then counts as broken off.
func (j *job) forwardStream(ctx context.Context, w *watchdog, e *roster.Endpoint, a *Answer) bool {
	events := j.newEventReader(a)
	for {
		w.resume(j.mayMove(e))
		event, err := events.next()
		// A caller that is slow to take an event does not make the endpoint silent.
		w.pause()
		if errors.Is(err, io.EOF) {
			return j.finishStream(e, a)
		}
		if err != nil {
			j.meterOnce()
			j.recordFailure(ctx, e, w.explain(err))
			return false
		}
		if event.HasData {
			w.reset(eventTimeoutPauses * j.route.MaxPause)
			j.meterOnce()
			j.exchange.countEvent(j.relay.clock.Now())
		}
		j.forwardHead(e, a)
		if err := j.caller.Event(event.Bytes); err != nil {
			j.observe(StepAborted, e, a.Status, "writing an event to the client failed", err)
			j.caller.Abort()
			return true
		}
		j.sequence.record(&event)
		if event.ID != "" {
			j.lastEvent = event.ID
		}
	}
}

// forwardHead passes on the head of a stream's first answer. A stream that is resumed keeps that head, so later ones are dropped.
func (j *job) forwardHead(e *roster.Endpoint, a *Answer) {
	if j.streaming {
		return
	}
	j.streaming = true
	j.recordSuccess(e)
	j.observe("Began", e, a.Status, "", nil)
	j.caller.Begin(a.Status, a.Header)
}

// finishStream completes the caller's stream, which may have had no event.
func (j *job) finishStream(e *roster.Endpoint, a *Answer) bool {
	j.meterOnce()
	j.forwardHead(e, a)
	if j.exchange.events > 0 {
		j.relay.quarantine.Completed(&j.request.Prompt)
	}
	j.observe("Answered", e, a.Status, "", nil)
	j.caller.End()
	return true
}

// promisesNotRun reports whether clients take a status as a promise that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case 408, 421, 429, 503:
		return true
	}
	return false
}

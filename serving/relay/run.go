package relay

import (
	"cmp"
	"context"
	"errors"
	"io"

	"cowslipshunt.example/serving/placement"
	"cowslipshunt.example/serving/roster"
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
			j.fail(ctx, cmp.Or(j.refusedFor, j.noEndpointReason()))
			return
		}
		if !j.allowSend() {
			j.fail(ctx, budgetReason)
			return
		}
		if !j.grantHolds(ctx) {
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

// sendTo sends the request to an endpoint once and reports whether the caller's request is finished. If the endpoint is silent for too long,
// another one may take the request over.
func (j *job) sendTo(ctx context.Context, e *roster.Endpoint) bool {
	s := j.newRun(ctx, e, j.source)
	defer func() {
		j.dropHandover()
		s.close()
	}()
	s.watchdog.setLimit(j.responseTimeout(s, j.possibleRuns+1))
	for {
		next, finished := j.follow(ctx, s)
		if next == nil {
			return finished
		}
		s.close()
		s = next
		// The endpoint that has taken the request over has prefilled the prompt itself.
		j.freeSource()
		s.watchdog.setLimit(j.responseTimeout(s, j.possibleRuns))
	}
}

// follow waits for the answer to a send, unless it has been received, and passes it on. It reports whether the caller's request is finished, or
// returns the send to the endpoint that has taken the request over.
func (j *job) follow(ctx context.Context, s *send) (next *send, finished bool) {
	j.exchange = s.exchange
	if s.answer == nil {
		j.wait(s, func() { j.receive(s) })
		if !j.recordReceived(ctx, s) {
			return j.awaitHandover(), false
		}
	}
	if !s.forwardsStream(j.route, j.streaming) {
		return j.forwardAnswer(ctx, s)
	}
	if !j.othersBegan() {
		j.goOn(s)
	}
	return j.forwardStream(ctx, s)
}

// forwardAnswer passes on an answer that is not a stream and returns what follow does. A server error is not passed on if the request can be
// repeated at another endpoint. If the caller has already received the head of a stream, nothing is passed on, and another endpoint may resume
// the stream.
func (j *job) forwardAnswer(ctx context.Context, s *send) (next *send, finished bool) {
	j.meterOnce()
	if j.streaming {
		j.rejectResumption(s)
		return j.awaitHandover(), false
	}
	s.watchdog.setLimit(0)
	j.wait(s, s.readWhole)
	if s.err != nil {
		j.recordFailure(ctx, s.exchange, s.err)
		return j.awaitHandover(), false
	}
	if s.answer.failed() {
		if next = j.awaitHandover(); next != nil {
			j.recordServerError(s)
			return next, false
		}
	}
	if s.answer.Status >= 500 && j.mayRun() && j.canRetryElsewhere(s.endpoint) {
		j.recordServerError(s)
		return nil, false
	}
	j.goOn(s)
	j.passOnAnswer(s)
	return nil, true
}

// passOnAnswer passes a whole answer on to the caller, unless clients would take its status as a false promise.
func (j *job) passOnAnswer(s *send) {
	status := s.answer.Status
	if status < 500 {
		j.recordSuccess(s.exchange)
	}
	if s.answer.Success() {
		j.relay.quarantine.Completed(&j.request.Prompt)
	}
	if promisesNotRun(status) {
		j.observe("Withheld", s.exchange, status, "clients would take the status as a promise that the request has not run", nil)
		j.refuse(Refusal{Verdict: Unknown, Reason: "the endpoint refused the request without saying whether it ran"})
		return
	}
	j.observe("Answered", s.exchange, status, "", nil)
	j.unlocked(func() { j.watchedWrite(s, func() { j.caller.Answer(status, s.answer.Header, s.body) }) })
}

// forwardStream passes on the events of a stream as they arrive and returns what follow does. An event that may not follow the last one is not
// passed on; the stream then counts as broken off. Once another endpoint has taken the stream over, that one goes on after the last event that
// was passed on, and what the first one sends is dropped.
func (j *job) forwardStream(ctx context.Context, s *send) (next *send, finished bool) {
	events := j.newEventReader(s)
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) {
			j.goOn(s)
			return nil, j.finishStream(s)
		}
		if err == nil && j.wasHandedOver() {
			err = errNoData
		}
		if err != nil {
			j.meterOnce()
			j.recordFailure(ctx, s.exchange, s.watchdog.explain(err))
			return j.awaitHandover(), false
		}
		if event.HasData {
			j.goOn(s)
			s.watchdog.restart(eventTimeoutPauses * j.route.MaxPause)
			j.meterOnce()
			s.exchange.countEvent(j.relay.clock.Now())
			s.prefilled()
		}
		j.forwardHead(s)
		if err := j.deliver(s, &event); err != nil {
			j.observe(StepAborted, s.exchange, s.answer.Status, "writing an event to the client failed", err)
			j.caller.Abort()
			return nil, true
		}
		j.sequence.record(&event)
		if event.ID != "" {
			j.lastEvent = event.ID
		}
	}
}

// deliver writes an event to the caller, which may be slow. During a comment other endpoints may be asked still; then the lock is held, so that
// no time limit runs meanwhile.
func (j *job) deliver(s *send, e *Event) (err error) {
	if e.HasData {
		j.mu.Unlock()
		defer j.mu.Lock()
	}
	j.watchedWrite(s, func() { err = j.caller.Event(e.Bytes) })
	return err
}

// unlocked calls do without the job's lock, which sends that were given up need to end.
func (j *job) unlocked(do func()) {
	j.mu.Unlock()
	defer j.mu.Lock()
	do()
}

// forwardHead passes on the head of a stream's first answer. A stream that is resumed keeps that head, so later ones are dropped.
func (j *job) forwardHead(s *send) {
	if j.streaming {
		return
	}
	j.streaming = true
	j.recordSuccess(s.exchange)
	j.observe("Began", s.exchange, s.answer.Status, "", nil)
	j.caller.Begin(s.answer.Status, s.answer.Header)
}

// finishStream completes the caller's stream, which may have had no event.
func (j *job) finishStream(s *send) bool {
	j.meterOnce()
	j.forwardHead(s)
	if s.exchange.events > 0 {
		j.relay.quarantine.Completed(&j.request.Prompt)
	}
	j.observe("Answered", s.exchange, s.answer.Status, "", nil)
	j.caller.End()
	return true
}

// failed reports whether the caller is better served with another endpoint's answer.
func (a *Answer) failed() bool {
	return a.Status >= 500 || promisesNotRun(a.Status)
}

// promisesNotRun reports whether clients take a status as a promise that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case 408, 421, 429, 503:
		return true
	}
	return false
}

package relay

import (
	"context"
	"errors"

	"cowslipshunt.example/serving/placement"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/serving/route"
)

// send is one send of the request to an endpoint, or of its prompt for a prefill, until the answer was passed on or given up.
type send struct {
	endpoint *roster.Endpoint
	attempt  *Attempt
	exchange *exchange
	watchdog *watchdog
	// paid is set if the send was taken from the retry budget, received once what the endpoint answered is recorded, silent while the endpoint
	// is avoided as it has sent no data for too long.
	paid, received, silent bool
	// release removes the request from the endpoint's load, prefilled its tokens to prefill only. For services that are not contended, release
	// removes these too, and prefilled does nothing.
	release, prefilled func()

	// answer and err are what the endpoint answered, both nil before. Once readWhole was called, body is that of the answer. handle is that of
	// a prefill's KV cache.
	answer *Answer
	err    error
	body   []byte
	read   bool
	handle string
	// ahead is what was read of a stream before it was followed, or nil.
	ahead *lookahead
}

// newSend returns a send that adds the given number of tokens to prefill to the endpoint's load. It must be closed.
func (j *job) newSend(ctx context.Context, e *roster.Endpoint, a *Attempt, tokens int) *send {
	x := &exchange{endpoint: e, began: j.relay.clock.Now(), queued: e.PrefillLoad(), unread: tokens}
	s := &send{endpoint: e, attempt: a, exchange: x, paid: j.tookRetry}
	s.addLoad(tokens, j.service.Contended)
	s.release = j.hold(e, s.release)
	s.watchdog = newWatchdog(ctx, j.relay.clock, &j.mu)
	s.watchdog.expired = func() { j.endpointSilent(ctx, s) }
	return s
}

// addLoad adds the send to the endpoint's load. For a contended service, the tokens to prefill are removed as soon as the prefill is known to
// be over.
func (s *send) addLoad(tokens int, contended bool) {
	if !contended {
		s.release, s.prefilled = s.endpoint.Begin(tokens), func() {}
		return
	}
	s.release, s.prefilled = s.endpoint.Begin(0), s.endpoint.BeginPrefill(tokens)
}

// newRun returns a send that runs the request.
func (j *job) newRun(ctx context.Context, e *roster.Endpoint, source *Source) *send {
	j.chargeSend()
	a := j.newAttempt()
	a.Source, a.Rank = source, j.engineRank(e, source != nil)
	tokens := 0
	if source == nil {
		tokens = j.uncachedTokens(e)
	}
	return j.newSend(ctx, e, a, tokens)
}

// newPrefill returns a send that has the prompt prefilled.
func (j *job) newPrefill(ctx context.Context, e *roster.Endpoint) *send {
	j.prefills++
	a := j.newAttempt()
	a.PrefillOnly, a.Rank = true, j.engineRank(e, false)
	return j.newSend(ctx, e, a, j.uncachedTokens(e))
}

// close ends the exchange with the endpoint.
func (s *send) close() {
	s.closeBody()
	s.watchdog.close()
	s.prefilled()
	s.release()
}

// wait runs receive, which waits for the endpoint, with the limit of the watchdog and without the job's lock. Until it has returned, the request
// may be handed over.
func (j *job) wait(s *send, receive func()) {
	func() {
		j.beginWait(s)
		defer j.endWait(s)
		receive()
	}()
	s.err = s.watchdog.explain(s.err)
}

func (j *job) beginWait(s *send) {
	if j.handover == nil {
		s.watchdog.resume()
	}
	j.mu.Unlock()
}

// endWait is deferred, as the endpoint's answer may cause a panic.
func (j *job) endWait(s *send) {
	j.mu.Lock()
	s.watchdog.pause()
}

// receive sends the attempt and receives the answer: the head of one that runs the request, the whole of a prefill. It is called without the
// job's lock.
func (j *job) receive(s *send) {
	source := sourceRequest
	if s.attempt.PrefillOnly {
		source = sourcePrefill
	}
	func() {
		defer func() { j.relay.noteSent(s.endpoint, s.attempt, s.answer, source) }()
		s.answer, s.err = j.relay.sender.Send(s.watchdog.ctx, s.endpoint, s.attempt)
	}()
	if s.attempt.PrefillOnly && s.err == nil && s.answer.Success() {
		s.handle, s.err = j.relay.sender.Prefilled(s.answer)
	}
}

// readWhole reads the body of an answer that is passed on whole, unless that has been done.
func (s *send) readWhole() {
	if !s.read && !s.rejected() {
		s.read = true
		s.body, s.err = s.answer.Body.All()
	}
}

// rejected reports whether the endpoint did not run the request or the prefill.
func (s *send) rejected() bool {
	return s.answer.NotRun || s.answer.Misdirected || s.attempt.PrefillOnly && !s.answer.Success()
}

// forwardsStream reports whether the answer is passed on event by event. If it goes on in the caller's stream, it has to say that it is one.
func (s *send) forwardsStream(r *route.Route, resumes bool) bool {
	return r.Kind == route.Stream && s.answer.Success() && (s.answer.EventStream || !resumes)
}

// recordReceived records how the endpoint has answered, and reports whether it accepted the request or has prefilled the prompt. A send that
// may have reached the endpoint is counted, but not a prefill that succeeded.
func (j *job) recordReceived(ctx context.Context, s *send) bool {
	s.received = true
	if j.recordUnsent(ctx, s, s.err) {
		return false
	}
	runs := !s.attempt.PrefillOnly
	rejected := s.err == nil && s.rejected()
	if runs && !rejected {
		j.possibleRuns++
		j.dropSource(s)
	}
	if runs || rejected || s.err != nil {
		j.sent++
	}
	switch {
	case rejected:
		j.recordRejection(s)
		return false
	case s.err != nil:
		if runs {
			j.meterOnce()
		}
		j.recordFailure(ctx, s.exchange, s.err)
		return false
	}
	s.exchange.status = s.answer.Status
	j.recordCachedParts(s.endpoint)
	return true
}

// dropSource forgets the KV cache that was fetched for a send, or may have been.
func (j *job) dropSource(s *send) {
	if s.attempt.Source != nil {
		j.source = nil
	}
}

// recordRejection records that an endpoint did not run the request or the prefill. A KV cache that was prefilled for it is freed.
func (j *job) recordRejection(s *send) {
	s.exchange.status = s.answer.Status
	s.exchange.end(j.relay.clock.Now(), nil)
	j.excluded = append(j.excluded, s.endpoint.Entry().ID)
	if s.answer.Misdirected {
		j.pause = s.endpoint.MarkFailed(j.relay.clock.Now())
	} else {
		j.pause = s.endpoint.MarkRejected(j.relay.clock.Now())
	}
	if s.attempt.Source != nil {
		j.freeSource()
	}
	j.observe("Rejected", s.exchange, s.answer.Status, "the endpoint did not run the request; this request avoids the endpoint", nil)
}

// rejectResumption records that an endpoint has answered the resumption of a stream with something else than a stream. Nothing of that answer
// may reach the client; another endpoint may go on.
func (j *job) rejectResumption(s *send) {
	s.exchange.end(j.relay.clock.Now(), errNoStream)
	j.excluded = append(j.excluded, s.endpoint.Entry().ID)
	j.observe("Retried", s.exchange, s.answer.Status, "the endpoint answered the resumption with something else than a stream; trying another endpoint", nil)
}

// errNoStream is the error of an exchange that was to resume a stream and has another answer.
var errNoStream = errors.New("the answer to a resumption is no stream")

// recordServerError records that an endpoint has answered with an error that is not passed on, as another endpoint may answer.
func (j *job) recordServerError(s *send) {
	s.exchange.end(j.relay.clock.Now(), nil)
	j.excluded = append(j.excluded, s.endpoint.Entry().ID)
	j.observe("Retried", s.exchange, s.answer.Status, "the endpoint answered with a server error; retrying at another endpoint", nil)
}

// recordFailure records that a send to an endpoint failed. It does nothing once the request's context has ended: the failure
// may then be due to the cancellation and not to the endpoint.
func (j *job) recordFailure(ctx context.Context, x *exchange, err error) {
	if ctx.Err() != nil {
		return
	}
	e := x.endpoint
	x.end(j.relay.clock.Now(), err)
	j.excluded = append(j.excluded, e.Entry().ID)
	now := j.relay.clock.Now()
	j.pause = e.MarkFailed(now)
	var neverSent *NeverSentError
	reached := !errors.As(err, &neverSent)
	j.observeFailure(x, reached, err)
	if reached {
		j.recordCrash(x, err)
		return
	}
	if pause := j.relay.reachability.MarkUnreachable(e.Entry(), now); pause > 0 {
		j.relay.observer.DomainUnreachable(e.Entry().Domain, pause)
	}
}

// recordSuccess clears the failures recorded for an endpoint and its failure domain, as the endpoint has answered.
func (j *job) recordSuccess(x *exchange) {
	e := x.endpoint
	j.relay.quarantine.Answered(e.Entry().Key, x.began)
	if e.MarkWorking() {
		j.observe("EndpointRecovered", x, 0, "the endpoint answered again after failures", nil)
	}
	if j.relay.reachability.MarkReachable(e.Entry()) {
		j.relay.observer.DomainReachable(e.Entry().Domain)
	}
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

package relay

import (
	"context"
	"errors"
	"io"

	"cowslipshunt.example/serving/placement"
	"cowslipshunt.example/serving/roster"
)

// handover asks other endpoints for a request whose endpoint has been silent for too long. The first connection stays open until another
// endpoint has accepted the request: the first one may go on, and the others may reject.
//
// The goroutine that serves the request holds job.mu except while it waits for an endpoint. The goroutine of the handover, that of the
// watchdog, holds it except while it waits for the endpoint that it asks.
type handover struct {
	// asked is the send to the endpoint that is asked now, accepted that to the one that has accepted the request; both may be nil.
	asked, accepted *send
	// abandoned is set once the first endpoint has gone on, firstFailed once it has failed. No further endpoint is asked then.
	abandoned, firstFailed bool
	done                   chan struct{}
}

// handOver asks one endpoint after another until one of them accepts the request of s, or may not be asked. It is called with the lock, when
// the endpoint of s has been silent for too long.
func (j *job) handOver(ctx context.Context, s *send) {
	n := j.newSuccessor(ctx, s)
	if n == nil {
		s.watchdog.resume()
		return
	}
	h := &handover{done: make(chan struct{})}
	j.handover = h
	j.handovers.Add(1)
	defer j.handovers.Done()
	defer close(h.done)
	defer func() {
		if value := recover(); value != nil {
			j.relay.observer.Panicked(j.request.ID, value)
			j.endPanicked(h, n)
		}
	}()
	j.observeSilence(s, n)
	for n != nil {
		if j.ask(ctx, h, n) {
			h.accepted = n
			s.watchdog.cancel(errNoData)
			return
		}
		j.discard(n)
		if h.abandoned || h.firstFailed || ctx.Err() != nil {
			return
		}
		n = j.newSuccessor(ctx, s)
	}
	j.handover = nil
	s.watchdog.resume()
}

// endPanicked ends a handover in which the send n panicked. The first endpoint has the request on.
func (j *job) endPanicked(h *handover, n *send) {
	if n != nil {
		j.discard(n)
	}
	if h.abandoned {
		return
	}
	j.countAsked(h)
	if !h.firstFailed {
		j.handover = nil
	}
}

// newSuccessor returns a send of what s asked for to another endpoint, which was taken from the retry budget, or nil if there is none.
func (j *job) newSuccessor(ctx context.Context, s *send) *send {
	e, reason := j.chooseSuccessor(s)
	if e == nil && s.attempt.PrefillOnly && j.giveUpPrefill(s) {
		return nil
	}
	if e != nil && !j.takeRetry() {
		e, reason = nil, budgetReason
	}
	if e == nil {
		// A retry that a withdrawn send has left must not pay for a send that is made much later.
		j.sendIsPaid = false
		j.observeWait(s, reason)
		return nil
	}
	if s.attempt.PrefillOnly {
		n := j.newPrefill(ctx, e)
		n.watchdog.expired = func() {
			if !j.giveUpPrefill(n) {
				n.watchdog.resume()
			}
		}
		return n
	}
	return j.newRun(ctx, e, nil)
}

// chooseSuccessor returns an endpoint that may be asked for what s asked for, or nil and the reason.
func (j *job) chooseSuccessor(s *send) (e *roster.Endpoint, reason string) {
	runs := j.possibleRuns
	if !s.counted {
		runs++
	}
	switch {
	case s.attempt.PrefillOnly && j.prefills >= maxPrefillAttempts, !s.attempt.PrefillOnly && runs >= j.route.MaxAttempts:
		return nil, "no attempt is left"
	case j.sequence.unnumbered:
		return nil, "the last event has no id to resume the stream from"
	case j.suspected, j.relay.quarantine.Holds(&j.request.Prompt):
		return nil, quarantineReason
	}
	need, now := j.needElsewhere(s.endpoint), j.relay.clock.Now()
	eligible := j.endpoints(need)
	switch {
	case s.attempt.PrefillOnly:
		e = placement.ChoosePrefill(eligible, &j.request.Prompt, need, now)
	case j.service.Engine != nil:
		e = placement.ChooseDecode(eligible, &j.request.Prompt, need, now)
	default:
		e = placement.LeastBusy(eligible, need, j.tieBreak)
	}
	return e, "no other endpoint is open"
}

// giveUpPrefill ends a prefill that no other engine can take over, if a decode engine is open that can prefill the prompt itself and the retry
// budget allows the send there. The send is taken from the budget.
func (j *job) giveUpPrefill(s *send) bool {
	if len(j.endpoints(j.need(roster.Decode))) == 0 || !j.takeRetry() {
		return false
	}
	j.sendIsPaid, j.prefills = true, maxPrefillAttempts
	s.watchdog.cancel(errNoData)
	return true
}

// ask sends n and reports whether its endpoint has accepted the request. It is called with the lock, and releases it while it waits.
func (j *job) ask(ctx context.Context, h *handover, n *send) bool {
	h.asked = n
	j.receiveElsewhere(n, j.streaming)
	h.asked = nil
	return !h.abandoned && j.recordReceived(ctx, n) && j.accepts(n)
}

// receiveElsewhere waits for the answer to n without the lock, and with a limit if it is a prefill: both engines may be silent. An answer that is passed on whole is read to its end: only then another endpoint
// is no longer needed.
func (j *job) receiveElsewhere(n *send, resumes bool) {
	n.watchdog.resume()
	j.mu.Unlock()
	defer j.endWait(n)
	j.receive(n)
	if n.err != nil {
		n.err = n.watchdog.explain(n.err)
	}
	if n.err == nil && !n.attempt.PrefillOnly && !n.forwardsStream(j.route, resumes) {
		n.readWhole()
	}
}

// accepts reports whether an answer to the request, or to its prefill, is one that the caller can be served with.
func (j *job) accepts(n *send) bool {
	switch {
	case n.attempt.PrefillOnly, n.forwardsStream(j.route, j.streaming):
		return true
	case j.streaming:
		j.meterOnce()
		j.rejectResumption(n)
		return false
	case n.answer.Status >= 500 || promisesNotRun(n.answer.Status):
		j.meterOnce()
		j.recordServerError(n)
		return false
	}
	return true
}

// settle ends the handover of a send whose endpoint has answered or failed. It returns the send that has been accepted instead, or nil.
func (j *job) settle(s *send) *send {
	if s.err == nil && !s.rejected() && s.answer.Status < 500 {
		return j.keep(s)
	}
	return j.awaitHandover()
}

// settleEvent is like settle, for an event of a stream or the error in its place. A comment does not end the handover.
func (j *job) settleEvent(s *send, event *Event, err error) *send {
	switch {
	case errors.Is(err, io.EOF):
		j.dropHandover()
		return nil
	case err != nil:
		return j.awaitHandover()
	case event.HasData:
		return j.keep(s)
	case j.handover != nil && j.handover.accepted != nil:
		return j.awaitHandover()
	}
	return nil
}

// keep ends the handover as the first endpoint goes on, unless another one has accepted the request by now. That send is then returned.
func (j *job) keep(s *send) *send {
	h := j.handover
	if h == nil {
		return nil
	}
	if h.accepted != nil {
		j.handover = nil
		return h.accepted
	}
	j.dropHandover()
	j.observe("Kept", s.exchange, 0, "the endpoint has gone on before another one accepted the request", nil)
	j.recordSuccess(s.exchange)
	return nil
}

// awaitHandover waits for the handover as the first endpoint has failed, and returns the send that was accepted, or nil.
func (j *job) awaitHandover() *send {
	h := j.handover
	if h == nil {
		return nil
	}
	h.firstFailed = true
	j.mu.Unlock()
	<-h.done
	j.mu.Lock()
	j.handover = nil
	return h.accepted
}

// dropHandover abandons the handover, if there is one. The endpoint that is asked may have begun to run the request.
func (j *job) dropHandover() {
	h := j.handover
	if h == nil {
		return
	}
	j.handover, h.abandoned = nil, true
	if h.accepted != nil {
		j.discard(h.accepted)
	}
	if h.asked != nil {
		h.asked.watchdog.cancel(nil)
	}
	j.countAsked(h)
}

// countAsked counts the send that no answer is waited for any more.
func (j *job) countAsked(h *handover) {
	if h.asked == nil {
		return
	}
	j.sent++
	if !h.asked.attempt.PrefillOnly {
		j.possibleRuns++
	}
}

// observeSilence passes on that another endpoint is asked, and avoids the silent one.
func (j *job) observeSilence(s, n *send) {
	j.pause = s.endpoint.MarkRejected(j.relay.clock.Now())
	j.observe("Silent", s.exchange, 0, "the endpoint is silent; asking "+string(n.endpoint.Entry().ID), nil)
}

// observeWait passes on the decision to wait longer for a silent endpoint.
func (j *job) observeWait(s *send, reason string) {
	d := j.decision("Waited", "the endpoint is silent, and "+reason, nil)
	d.Endpoint = s.endpoint.Entry().ID
	j.relay.observer.Decided(d)
}

// rejectResumption records that an endpoint has answered the resumption of a stream with something else than a stream. Nothing of that answer
// may reach the client; another endpoint may go on.
func (j *job) rejectResumption(s *send) {
	s.exchange.end(j.relay.clock.Now(), errNoStream)
	j.excluded = append(j.excluded, s.endpoint.Entry().ID)
	j.observe("Retried", s.exchange, s.answer.Status, "the endpoint answered the resumption with something else than a stream; trying another endpoint", nil)
}

// recordServerError records that an endpoint has answered with an error that is not passed on, as another endpoint may answer.
func (j *job) recordServerError(s *send) {
	s.exchange.end(j.relay.clock.Now(), nil)
	j.excluded = append(j.excluded, s.endpoint.Entry().ID)
	j.observe("Retried", s.exchange, s.answer.Status, "the endpoint answered with a server error; retrying at another endpoint", nil)
}

// recordReplaced records an answer that is not passed on, as another endpoint has accepted the request.
func (j *job) recordReplaced(s *send) {
	s.exchange.end(j.relay.clock.Now(), nil)
	j.excluded = append(j.excluded, s.endpoint.Entry().ID)
	j.observe("Retried", s.exchange, s.answer.Status, "the endpoint answered after another one had accepted the request", nil)
}

// errNoStream is the error of an exchange that was to resume a stream and has another answer.
var errNoStream = errors.New("the answer to a resumption is no stream")

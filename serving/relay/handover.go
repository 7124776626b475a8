package relay

import (
	"context"
	"slices"
)

// handover asks other endpoints for a request whose first endpoint has been silent for too long. The first connection stays open until another
// endpoint has accepted the request: the first one may go on, and the others may reject or be silent too.
//
// The goroutine that serves the request holds job.mu except while it waits for the first endpoint or for the handover. Each goroutine that asks
// an endpoint holds it except while it waits for that endpoint.
type handover struct {
	first *send
	// asked are the sends whose endpoints have not answered, accepted is that to the endpoint that has taken the request over, or nil.
	asked    []*send
	accepted *send
	// begun are the sends of which the head of a stream has arrived and no event yet.
	begun []*send
	// firstFailed is set once the first endpoint no longer has the request.
	firstFailed bool
	// over is set, and done closed, once no endpoint is asked any more.
	over bool
	done chan struct{}
}

// endpointSilent asks another endpoint for the request, as the endpoint of s has sent no data within its limit. It is called with the lock. If no
// endpoint may be asked, the limit of s starts anew.
func (j *job) endpointSilent(ctx context.Context, s *send) {
	defer func() {
		if value := recover(); value != nil {
			j.relay.observer.Panicked(j.request.ID, value)
		}
	}()
	if s.watchdog.ctx.Err() != nil {
		return
	}
	h := j.handover
	if h == nil {
		h = &handover{first: s, done: make(chan struct{})}
	}
	if len(h.begun) > 0 {
		// One of them takes the request over within maxOverlap, or another endpoint is asked.
		s.watchdog.resume()
		return
	}
	n, reason := j.newSuccessor(ctx, h)
	if n != nil {
		j.observeSilence(h, s, n)
		j.ask(ctx, h, n)
	}
	if n != nil || h.first.attempt.PrefillOnly && j.giveUpPrefill(h) {
		return
	}
	j.observeWait(s, reason)
	s.watchdog.resume()
}

// ask sends n in a goroutine of its own.
func (j *job) ask(ctx context.Context, h *handover, n *send) {
	j.handover = h
	h.asked = append(h.asked, n)
	resumes := j.streaming
	n.watchdog.setLimit(j.askTimeout(n))
	n.watchdog.resume()
	j.handovers.Go(func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		defer func() {
			if value := recover(); value != nil {
				j.relay.observer.Panicked(j.request.ID, value)
				j.askFailed(ctx, h, n)
			}
		}()
		j.receiveElsewhere(n, resumes)
		j.answered(ctx, h, n)
	})
}

// receiveElsewhere waits for the answer to n without the lock. An answer that is passed on whole is read to its end first: it may break off, and
// then the first endpoint is still needed.
func (j *job) receiveElsewhere(n *send, resumes bool) {
	j.mu.Unlock()
	defer func() {
		j.mu.Lock()
		n.watchdog.pause()
	}()
	j.receive(n)
	if n.err == nil && !n.attempt.PrefillOnly && !n.forwardsStream(j.route, resumes) {
		n.readWhole()
	}
}

// answered records the answer to n, and hands the request over if its endpoint has accepted it. Otherwise another endpoint is asked.
func (j *job) answered(ctx context.Context, h *handover, n *send) {
	if h.over {
		j.freeHandle(n)
		n.close()
		return
	}
	h.forget(n)
	switch {
	case !j.recordReceived(ctx, n) || !j.accepts(n):
		n.close()
		j.askNext(ctx, h)
	case h.hasOther() && !n.attempt.PrefillOnly && n.forwardsStream(j.route, j.streaming):
		j.lookAhead(ctx, h, n)
	default:
		j.takeOver(h, n)
	}
}

// askFailed ends a send that has panicked.
func (j *job) askFailed(ctx context.Context, h *handover, n *send) {
	if h.accepted == n {
		return
	}
	n.close()
	if h.over {
		return
	}
	if slices.Contains(h.asked, n) {
		j.countAsked(n)
	}
	h.forget(n)
	j.askNext(ctx, h)
}

// askNext asks another endpoint in place of one that has not accepted the request, unless one has begun to answer. Once the first endpoint has failed too, the serving goroutine
// goes on by itself.
func (j *job) askNext(ctx context.Context, h *handover) {
	if len(h.begun) > 0 {
		return
	}
	if !h.firstFailed && ctx.Err() == nil {
		n, reason := j.newSuccessor(ctx, h)
		if n != nil {
			j.ask(ctx, h, n)
			return
		}
		j.observeWait(h.first, reason)
	}
	if len(h.asked) > 0 {
		return
	}
	j.endHandover(h)
	if !h.firstFailed {
		j.handover = nil
		h.first.watchdog.resume()
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
	case n.answer.failed():
		j.meterOnce()
		j.recordServerError(n)
		return false
	}
	return true
}

// wasHandedOver reports whether another endpoint has taken the request over from the one that is followed.
func (j *job) wasHandedOver() bool {
	return j.handover != nil && j.handover.accepted != nil
}

// othersBegan reports whether another endpoint has begun to answer, or has taken the request over. Then the head of a stream from the first one
// is not enough for it to go on.
func (j *job) othersBegan() bool {
	return j.handover != nil && (j.handover.accepted != nil || len(j.handover.begun) > 0)
}

// awaitHandover waits for the endpoints that are asked, as the first one has failed. It returns the send to the one that has accepted the
// request, or nil.
func (j *job) awaitHandover() *send {
	h := j.handover
	if h == nil {
		return nil
	}
	h.firstFailed = true
	if len(h.begun) == 1 && len(h.asked) == 0 {
		j.takeOver(h, h.begun[0])
	}
	if !h.over {
		j.mu.Unlock()
		<-h.done
		j.mu.Lock()
	}
	j.handover = nil
	return h.accepted
}

// goOn ends the handover, if there is one, as the first endpoint has sent data. An endpoint that was silent is no longer avoided.
func (j *job) goOn(s *send) {
	if j.handover != nil {
		j.dropHandover()
		j.observe("Kept", s.exchange, 0, "the endpoint has gone on before another one accepted the request", nil)
	}
	if s.silent {
		s.silent = false
		j.recordSuccess(s.exchange)
	}
}

// dropHandover gives up what was asked of other endpoints.
func (j *job) dropHandover() {
	h := j.handover
	if h == nil {
		return
	}
	j.handover = nil
	if n := h.accepted; n != nil {
		if n.attempt.PrefillOnly {
			// Only one of two prefills is free.
			j.sent++
		}
		j.freeHandle(n)
		n.close()
	}
	j.endHandover(h)
}

// endHandover gives up the sends whose endpoints have not answered.
func (j *job) endHandover(h *handover) {
	if h.over {
		return
	}
	h.over = true
	for _, n := range h.asked {
		n.watchdog.close()
		j.countAsked(n)
	}
	for _, n := range h.begun {
		n.watchdog.close()
		j.meterOnce()
	}
	close(h.done)
}

// countAsked counts a send that no answer is waited for any more. Its endpoint may have begun to run the request.
func (j *job) countAsked(n *send) {
	j.sent++
	if !n.attempt.PrefillOnly {
		j.possibleRuns++
		j.meterOnce()
	}
}

// hasOther reports whether another endpoint has the request than that of a send that is neither in asked nor in begun.
func (h *handover) hasOther() bool {
	return !h.firstFailed || len(h.asked)+len(h.begun) > 0
}

// forget removes a send from those that may take the request over.
func (h *handover) forget(n *send) {
	isN := func(s *send) bool { return s == n }
	h.asked = slices.DeleteFunc(h.asked, isN)
	h.begun = slices.DeleteFunc(h.begun, isN)
}

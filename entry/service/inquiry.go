package service

import (
	"context"
	"net/http"
	"slices"

	"cowslipshunt.example/shared/caller"
	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

// inquiry asks endpoints for the answer to one call, up to its head. If the endpoint is silent for too long and the route is repeatable, it
// asks another one, and the first stays connected: the one that answers first is taken, and the other is closed.
type inquiry struct {
	server *Server
	call   *call
	// attempts counts the tries, failed lists the endpoints that failed.
	attempts int
	failed   []wire.EndpointId
	// mayHaveRun reports whether an endpoint may have received part of the request.
	mayHaveRun bool
	// open holds the tries without an answer. replies receives those that have one.
	open     []*try
	replies  chan *try
	watchdog clockwork.Timer
	// slots receives a slot at another endpoint, or nil. It is nil unless one is waited for; stopWaiting then ends the wait.
	slots       <-chan *endpoint.Slot
	stopWaiting context.CancelFunc
	// waitReason is why no other endpoint was asked when the call was last said to wait.
	waitReason string
}

// try is one send of the request to an endpoint.
type try struct {
	slot   *endpoint.Slot
	cancel context.CancelFunc
	// beside is set if the try was made as the endpoint of another one was silent.
	beside bool
	resp   *http.Response
	err    error
}

func newInquiry(s *Server, c *call) *inquiry {
	return &inquiry{server: s, call: c, replies: make(chan *try, maxAttempts), watchdog: s.clock.NewTimer(s.limits.Stall)}
}

// begin sends the request to the endpoint of a slot.
func (q *inquiry) begin(slot *endpoint.Slot) {
	q.attempts++
	ctx, cancel := context.WithCancel(q.call.ctx)
	t := &try{slot: slot, cancel: cancel, beside: len(q.open) > 0}
	q.open = append(q.open, t)
	q.watchdog.Reset(q.server.limits.Stall)
	go func() {
		t.resp, t.err = q.server.sendTo(ctx, q.call, slot)
		q.replies <- t
	}()
}

// await waits for an answer that can be passed on, and returns the try that got it. It returns false with the last try to fail if there is
// none.
func (q *inquiry) await() (t *try, accepted bool) {
	for {
		select {
		case t := <-q.replies:
			q.open = slices.DeleteFunc(q.open, func(other *try) bool { return other == t })
			if q.accepts(t) {
				t.slot.RecordActivity()
				t.slot.RecordSuccess()
				return t, true
			}
			q.recordFailure(t)
			if len(q.open) == 0 {
				q.stopWait()
				return t, false
			}
		case slot := <-q.slots:
			q.ask(slot)
		case <-q.watchdog.Chan():
			q.handOver()
			q.watchdog.Reset(q.server.limits.Stall)
		}
	}
}

// accepts reports whether an answer is passed on. An endpoint that was asked beside a silent one and fails does not take its place.
func (q *inquiry) accepts(t *try) bool {
	return t.err == nil && !rejectedNotRun(t.resp) && (!t.beside || len(q.open) == 0 || t.resp.StatusCode < http.StatusInternalServerError)
}

// notRun reports whether a try that failed certainly ran nothing.
func (t *try) notRun() bool {
	if t.err != nil {
		return caller.NeverSent(t.err)
	}
	return rejectedNotRun(t.resp)
}

// recordFailure ends a try that failed. The endpoint is not to blame if the caller is gone.
func (q *inquiry) recordFailure(t *try) {
	id := t.slot.State().Endpoint
	q.mayHaveRun = q.mayHaveRun || !t.notRun()
	if t.err != nil && q.call.ctx.Err() == nil {
		t.slot.RecordFailure(q.server.clock.Now())
	}
	q.failed = append(q.failed, id)
	q.call.admitted.Log.Warn().Err(t.err).Str("Endpoint", string(id)).Bool("NotRun", t.notRun()).Msg("attempt at an endpoint failed")
	q.end(t)
}

// end closes the answer to a try and frees its slot.
func (q *inquiry) end(t *try) {
	t.cancel()
	if t.resp != nil {
		_ = t.resp.Body.Close()
	}
	t.slot.Release()
	q.server.wakeQueue(q.call)
}

// handOver looks for another endpoint, as those that were asked have been silent for too long. They are avoided until they answer.
func (q *inquiry) handOver() {
	now := q.server.clock.Now()
	for _, t := range q.open {
		t.slot.RecordSilence(now)
	}
	asked := q.asked()
	need := q.call.need()
	need.Excluded = asked
	switch {
	case q.slots != nil:
		return
	case !q.call.route.Repeatable:
		q.logWait("the route is not repeatable")
		return
	case q.attempts >= maxAttempts:
		q.logWait("no attempt is left")
		return
	case endpoint.CountEligible(q.server.directory.View().Service(q.call.service), need) == 0:
		q.logWait("there is no other")
		return
	}
	ctx, cancel := context.WithCancel(q.call.ctx)
	slots := make(chan *endpoint.Slot, 1)
	q.slots, q.stopWaiting = slots, cancel
	avoided := slices.Concat(q.failed, asked)
	go func() {
		slot, err := q.server.acquireSlot(ctx, q.call, avoided)
		if err != nil {
			slot = nil
		}
		slots <- slot
	}()
}

// ask sends the request to another endpoint too. slot is nil if none was free in time.
func (q *inquiry) ask(slot *endpoint.Slot) {
	q.stopWaiting()
	q.slots = nil
	switch {
	case slot == nil:
		q.logWait("no slot was free in time")
	case slices.Contains(q.asked(), slot.State().Endpoint):
		q.logWait("no other has a free slot")
		slot.Release()
		q.server.wakeQueue(q.call)
	default:
		q.call.admitted.Log.Warn().Str("Endpoint", string(slot.State().Endpoint)).Msg("endpoint is silent; asking another one")
		q.begin(slot)
	}
}

// stopWait ends the wait for a slot, if there is one, and frees the slot if it came all the same.
func (q *inquiry) stopWait() {
	if q.slots == nil {
		return
	}
	q.stopWaiting()
	if slot := <-q.slots; slot != nil {
		slot.Release()
		q.server.wakeQueue(q.call)
	}
	q.slots = nil
}

// close ends all tries without an answer.
func (q *inquiry) close() {
	q.watchdog.Stop()
	q.stopWait()
	for _, t := range q.open {
		t.cancel()
	}
	for range q.open {
		q.end(<-q.replies)
	}
}

// asked lists the endpoints that are asked now.
func (q *inquiry) asked() []wire.EndpointId {
	var ids []wire.EndpointId
	for _, t := range q.open {
		ids = append(ids, t.slot.State().Endpoint)
	}
	return ids
}

// logWait logs that the call waits on for the endpoints that were asked, unless that was the last line about it.
func (q *inquiry) logWait(reason string) {
	if q.waitReason == reason {
		return
	}
	q.waitReason = reason
	q.call.admitted.Log.Warn().Int("Attempts", q.attempts).Str("Reason", reason).Msg("endpoint is silent; waiting for it, as no other one can be asked")
}

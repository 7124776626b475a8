package answer

import (
	"context"
	"slices"

	"cowslipshunt.example/entry/admission"
	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/shared/endpoint"
	"github.com/jonboulle/clockwork"
)

// follower passes on the answer to one request. If the engine is silent for too long, it asks another one, and the first attempt stays
// open: the engine that goes on first, or accepts the request first, answers it, and the other attempts are closed. Each attempt
// receives in a goroutine of its own, but only the follower's decides between them and writes to the caller.
type follower struct {
	*exchange
	server   *Server
	ctx      context.Context
	admitted *admission.Request
	model    document.Model
	// messages receives what all open attempts receive.
	messages chan message
	// open holds the attempts that may still answer the request. At most one of them has had a head.
	open []*attempt
	// watchdog runs while an engine is waited for. It does not end while the caller is written to.
	watchdog clockwork.Timer
	// slots receives a slot at another engine, or nil. It is nil unless one is waited for; stopWaiting then ends the wait.
	slots       <-chan *endpoint.Slot
	stopWaiting context.CancelFunc
	// waitReason is why no other engine was asked when the request was last said to wait.
	waitReason string
}

// follow sends the request to the slot's engine and passes its tokens to the caller. It returns nil once the answer is complete, and
// an error once no engine is asked for it any more. It frees the slot.
func (s *Server) follow(ctx context.Context, admitted *admission.Request, model document.Model, x *exchange, slot *endpoint.Slot) *attemptError {
	f := &follower{
		exchange: x, server: s, ctx: ctx, admitted: admitted, model: model,
		messages: make(chan message), watchdog: s.clock.NewTimer(s.limits.Stall),
	}
	defer f.closeAll()
	f.begin(slot)
	for {
		m, received := f.next()
		if !received {
			return f.giveUp()
		}
		if finished, attemptErr := f.receive(m); finished {
			return attemptErr
		}
		f.watchdog.Reset(f.patience())
	}
}

// next waits for a message and returns it, or false once the context has ended. Meanwhile another engine may be asked.
func (f *follower) next() (m message, received bool) {
	for {
		select {
		case m = <-f.messages:
			return m, true
		default:
		}
		select {
		case m = <-f.messages:
			return m, true
		case slot := <-f.slots:
			f.ask(slot)
		case <-f.watchdog.Chan():
			f.handOver()
			f.watchdog.Reset(f.server.limits.Stall)
		case <-f.ctx.Done():
			return m, false
		}
	}
}

// begin sends the request to an engine.
func (f *follower) begin(slot *endpoint.Slot) {
	f.attempt++
	f.placement = slot.Reason
	placements[slot.Reason].Inc()
	ctx, cancel := context.WithCancel(f.ctx)
	a := &attempt{number: f.attempt, request: f.requestID, slot: slot, cancel: cancel, ended: make(chan struct{})}
	f.open = append(f.open, a)
	r, err := f.newRequest(ctx, a)
	go a.run(ctx, f.server.engineTransport, r, err, f.messages)
}

// receive handles a message and reports whether the request is finished or failed. Whatever an engine sends but an error shows that
// it goes on, or has accepted the request, so that the others are no longer needed.
func (f *follower) receive(m message) (finished bool, attemptErr *attemptError) {
	a := m.from
	if m.err != nil {
		return f.fail(a, m.err), m.err
	}
	f.mayHaveRun = true
	f.closeOthers(a)
	f.placement = a.slot.Reason
	if m.head {
		return false, nil
	}
	if a.silent {
		a.silent, f.waitReason = false, ""
		a.slot.RecordActivity()
		f.admitted.Log.Info().Str("Endpoint", string(a.slot.State().Endpoint)).Int("Attempt", a.number).Msg("silent engine has gone on")
	}
	f.recordEvent(a.slot, f.server.clock.Now())
	final, attemptErr := f.handleEvent(a.number, m.event)
	if attemptErr != nil {
		return f.fail(a, attemptErr), attemptErr
	}
	return final, nil
}

// fail ends an attempt that failed and reports whether the request cannot go on by another one that is open.
func (f *follower) fail(a *attempt, attemptErr *attemptError) bool {
	f.mayHaveRun = f.mayHaveRun || !attemptErr.NotRun
	f.recordFailure(a, attemptErr)
	f.close(a)
	return len(f.open) == 0 || attemptErr.CallerGone
}

// recordFailure records that an attempt failed. The engine is not to blame if it refused the request itself, or if the caller is gone.
func (f *follower) recordFailure(a *attempt, attemptErr *attemptError) {
	id := a.slot.State().Endpoint
	f.admitted.Log.Warn().Err(attemptErr).Str("Endpoint", string(id)).Int("Attempt", a.number).Int("Delivered", len(f.delivered)).Msg("attempt at an engine failed")
	if attemptErr.Refusal != nil || attemptErr.CallerGone || f.ctx.Err() != nil {
		return
	}
	a.slot.RecordFailure(f.server.clock.Now())
	f.failed = append(f.failed, id)
}

// giveUp returns the error of a request whose context has ended. The engines that were asked may have run it.
func (f *follower) giveUp() *attemptError {
	f.mayHaveRun = true
	attemptErr := &attemptError{Err: context.Cause(f.ctx)}
	for _, a := range f.open {
		f.recordFailure(a, attemptErr)
	}
	return attemptErr
}

// close ends an attempt and frees its slot.
func (f *follower) close(a *attempt) {
	f.open = slices.DeleteFunc(f.open, func(other *attempt) bool { return other == a })
	a.close()
	f.server.freeSlot(f.model, a.slot)
}

// closeOthers ends all attempts but a, and the wait for a slot for another one.
func (f *follower) closeOthers(a *attempt) {
	f.stopWait()
	if len(f.open) == 1 {
		return
	}
	for _, other := range slices.Clone(f.open) {
		if other == a {
			continue
		}
		if other.silent {
			f.recordFailure(other, &attemptError{Err: errStalled})
		}
		f.close(other)
	}
}

// closeAll ends all attempts.
func (f *follower) closeAll() {
	f.watchdog.Stop()
	f.stopWait()
	for _, a := range slices.Clone(f.open) {
		f.close(a)
	}
}

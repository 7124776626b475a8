package relay

import (
	"context"
	"errors"
	"io"

	"cowslipshunt.example/serving/placement"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/serving/route"
)

// run sends the request until one endpoint has answered it or no send is left.
func (j *job) run(ctx context.Context) {
	for {
		if !j.mayRun() {
			j.fail(ctx, "no attempt is left")
			return
		}
		e := j.choose(ctx)
		if ctx.Err() != nil {
			j.fail(ctx, "the client left or the time is over")
			return
		}
		if e == nil {
			j.fail(ctx, "no endpoint is open")
			return
		}
		if !j.maySend() {
			j.fail(ctx, "the retry budget is spent")
			return
		}
		if j.sendTo(ctx, e) {
			return
		}
		if ctx.Err() != nil {
			j.fail(ctx, "the client left or the time is over")
			return
		}
	}
}

// choose returns the endpoint of the next send. For a generation it may have the prompt read elsewhere first.
func (j *job) choose(ctx context.Context) *roster.Endpoint {
	if j.service.Engine == nil {
		need := j.need(roster.NoStage)
		return placement.LeastBusy(j.endpoints(need), need, j.draw)
	}
	return j.chooseEngine(ctx)
}

// sendTo sends the request once and tells whether the caller has its answer.
func (j *job) sendTo(ctx context.Context, e *roster.Endpoint) bool {
	unread := j.unread(e)
	if j.source != nil {
		unread = 0
	}
	release := j.begin(e, unread)
	defer release()
	w := newWatch(ctx, j.relay.clock, j.silenceLimit(e))
	defer w.end()
	a, err := j.relay.sender.Send(w.ctx, e, j.attempt())
	var neverSent *NeverSentError
	if errors.As(err, &neverSent) {
		j.failed(ctx, e, err)
		return false
	}
	j.sent++
	if err != nil {
		j.runs++
		j.meter()
		j.source = nil
		j.failed(ctx, e, err)
		return false
	}
	defer a.Body.Close()
	if a.NotRun || a.Misdirected {
		j.rejected(e, a)
		return false
	}
	j.runs++
	j.source = nil
	j.learn(e)
	if j.route.Kind == route.Stream && a.Success() {
		return j.stream(ctx, w, e, a)
	}
	w.heard()
	return j.whole(ctx, e, a)
}

// rejected notes that an endpoint did not run the request.
func (j *job) rejected(e *roster.Endpoint, a *Answer) {
	j.not = append(j.not, e.Entry().ID)
	if a.Misdirected {
		j.pause = e.Failed(j.relay.clock.Now())
	} else {
		j.pause = e.Rejected(j.relay.clock.Now())
	}
	j.freeSource()
	j.decided("Rejected", e, a.Status, "the endpoint did not run the request", nil)
}

// whole passes an answer on that is no stream. A failure of a repeatable request is tried elsewhere first.
func (j *job) whole(ctx context.Context, e *roster.Endpoint, a *Answer) bool {
	j.meter()
	body, err := a.Body.All()
	if err != nil {
		j.failed(ctx, e, err)
		return false
	}
	if a.Status >= 500 && !j.begun && j.mayRun() && j.another(e) {
		j.not = append(j.not, e.Entry().ID)
		j.decided("Retried", e, a.Status, "the endpoint answered with a failure", nil)
		return false
	}
	if a.Status < 500 {
		j.worked(e)
	}
	if j.begun {
		j.caller.Abort()
		return true
	}
	if promisesNotRun(a.Status) {
		j.decided("Withheld", e, a.Status, "the status would promise that the request has not run", nil)
		j.refuse(Refusal{Verdict: Unknown, Reason: "the endpoint refused the request without saying whether it ran"})
		return true
	}
	j.decided("Answered", e, a.Status, "", nil)
	j.caller.Answer(a.Status, a.Header, body)
	return true
}

// another tells whether an endpoint besides e is open for a send that the budget allows. The budget is asked again when the
// request is sent.
func (j *job) another(e *roster.Endpoint) bool {
	need := j.need(e.Entry().Stage)
	need.Not = append(need.Not[:len(need.Not):len(need.Not)], e.Entry().ID)
	return len(j.endpoints(need)) > 0 && j.budget.Left(j.relay.clock.Now())
}

// stream passes events on as they come.
func (j *job) stream(ctx context.Context, w *watch, e *roster.Endpoint, a *Answer) bool {
	for {
		event, id, err := a.Body.Next()
		w.heardEvent(pausesOfSilence * j.route.MaxPause)
		if errors.Is(err, io.EOF) {
			return j.streamEnded(e, a)
		}
		if err != nil {
			j.meter()
			j.failed(ctx, e, err)
			return false
		}
		j.meter()
		j.pass(e, a)
		if err := j.caller.Event(event); err != nil {
			j.decided("Aborted", e, a.Status, "the client is gone", err)
			j.caller.Abort()
			return true
		}
		if id != "" {
			j.lastEvent = id
		}
	}
}

// pass passes the head of the first answer on; a stream that is resumed keeps it.
func (j *job) pass(e *roster.Endpoint, a *Answer) {
	if j.begun {
		return
	}
	j.begun = true
	j.worked(e)
	j.decided("Began", e, a.Status, "", nil)
	j.caller.Begin(a.Status, a.Header)
}

func (j *job) streamEnded(e *roster.Endpoint, a *Answer) bool {
	j.pass(e, a)
	j.decided("Answered", e, a.Status, "", nil)
	j.caller.End()
	return true
}

// promisesNotRun tells whether a client takes a status for the promise that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case 408, 421, 429, 503:
		return true
	}
	return false
}

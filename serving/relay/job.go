package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"cowslipshunt.example/serving/placement"
	"cowslipshunt.example/serving/retry"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/serving/route"
	"cowslipshunt.example/wire"
)

// job is one request on its way.
type job struct {
	relay   *Relay
	request *Request
	caller  Caller
	// draw breaks ties of this request's choices.
	draw uint64

	version   route.Version
	route     *route.Route
	service   *route.Service
	workspace wire.WorkspaceName
	rank      int
	deadline  time.Time
	budget    *retry.Budget

	// sent counts the sends that count as arrivals, runs those that may have run.
	sent, runs int
	// began tells that the request was metered.
	began  bool
	not    []wire.EndpointId
	source *Source
	// waiting and unread are what the last choice of an engine went by.
	waiting, unreadThere int
	// pause is how long the endpoint that failed last is avoided, until that is logged.
	pause time.Duration
	// begun tells that the caller has the head of a stream, lastEvent the last event's id.
	begun     bool
	lastEvent string
}

// admit finds the route and workspace of a request, or returns why it is refused.
func (j *job) admit() *Refusal {
	t := j.relay.table.Load()
	if t == nil {
		return &Refusal{Verdict: NotRun, Reason: "no configuration yet", RetryAfter: refuseRetry}
	}
	j.version = t.Version
	if j.request.ID == "" {
		return &Refusal{Verdict: Malformed, Reason: "the request has no id"}
	}
	j.route = t.Find(j.request.Host, j.request.Path)
	if j.route == nil {
		return &Refusal{Verdict: NoRoute, Reason: "no route matches"}
	}
	j.rank = j.route.Rank
	if !j.route.Public {
		holder := t.Holder(j.request.Key)
		if holder == nil {
			return &Refusal{Verdict: NoKey, Reason: "no workspace holds the key"}
		}
		j.workspace = holder.Name
		if holder.HasRank {
			j.rank = holder.Rank
		}
	}
	name := j.route.Pick(rand.Float64())
	j.service = t.Services[name]
	if j.service == nil {
		j.service = &route.Service{Name: name}
	}
	j.budget = j.relay.budget(name)
	wait := j.route.Timeout
	if j.request.Patience > 0 {
		wait = min(wait, j.request.Patience)
	}
	j.deadline = j.request.Arrived.Add(wait)
	j.lastEvent = j.request.LastEvent
	return nil
}

// need says which endpoints suit the next send.
func (j *job) need(stage roster.Stage) placement.Need {
	return placement.Need{Stage: stage, Near: j.relay.domain, Not: j.not, Steady: j.route.Kind == route.Once}
}

// endpoints returns those of the service that suit, without those of other failure domains that are cut off, if any is left.
func (j *job) endpoints(need placement.Need) []*roster.Endpoint {
	now := j.relay.clock.Now()
	suited := placement.Suited(j.relay.directory.View().Service(j.service.Name), need, now)
	cut := j.relay.reach.Cut(now)
	if cut == nil {
		return suited
	}
	reached := make([]*roster.Endpoint, 0, len(suited))
	for _, e := range suited {
		if d := e.Entry().Domain; d == j.relay.domain || !cut[d] {
			reached = append(reached, e)
		}
	}
	if len(reached) == 0 {
		return suited
	}
	return reached
}

// worked notes that an endpoint has answered.
func (j *job) worked(e *roster.Endpoint) {
	if e.Worked() {
		j.decided("EndpointRecovered", e, 0, "the endpoint had failed and has answered", nil)
	}
	if j.relay.reach.Reached(e.Entry()) {
		j.relay.observer.DomainReached(e.Entry().Domain)
	}
}

// attempt returns the next send.
func (j *job) attempt() *Attempt {
	return &Attempt{
		Request:   j.request,
		Workspace: j.workspace,
		Deadline:  j.deadline,
		Rank:      min(j.rank, 9),
		Source:    j.source,
		LastEvent: j.lastEvent,
	}
}

// maySend takes a send beyond the first from the retry budget.
func (j *job) maySend() bool {
	return j.sent == 0 || j.budget.Extra(j.relay.clock.Now())
}

// mayRun tells whether the request may be sent to an endpoint that may run it.
func (j *job) mayRun() bool {
	if j.runs == 0 {
		return true
	}
	return j.route.Repeatable() && j.runs < j.route.MaxAttempts
}

// failed notes that an endpoint failed a send.
func (j *job) failed(ctx context.Context, e *roster.Endpoint, err error) {
	if ctx.Err() != nil {
		return
	}
	j.not = append(j.not, e.Entry().ID)
	now := j.relay.clock.Now()
	j.pause = e.Failed(now)
	j.decided("Failed", e, 0, "the endpoint failed", err)
	var neverSent *NeverSentError
	if !errors.As(err, &neverSent) {
		return
	}
	if pause := j.relay.reach.Unreached(e.Entry(), now); pause > 0 {
		j.relay.observer.DomainCut(e.Entry().Domain, pause)
	}
}

// meter counts the request once it runs.
func (j *job) meter() {
	if !j.began {
		j.began = true
		j.relay.meter.Began(j.workspace)
	}
}

// refuse ends the request without an endpoint's answer.
func (j *job) refuse(r Refusal) {
	j.decided("Refused", nil, 0, r.Verdict.String()+": "+r.Reason, nil)
	j.caller.Refuse(r)
}

// fail ends a request that no endpoint answered, with what is true of it.
func (j *job) fail(ctx context.Context, reason string) {
	j.freeSource()
	switch {
	case j.begun:
		j.decided("Aborted", nil, 0, reason, context.Cause(ctx))
		j.caller.Abort()
	case j.runs == 0 && ctx.Err() == nil:
		j.refuse(Refusal{Verdict: NotRun, Reason: reason, RetryAfter: refuseRetry})
	case j.runs == 0:
		j.refuse(Refusal{Verdict: NotRun, Reason: "the deadline passed: " + reason})
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		j.refuse(Refusal{Verdict: Expired, Reason: reason})
	default:
		j.refuse(Refusal{Verdict: Unknown, Reason: reason})
	}
}

// freeSource gives up a prefilled KV cache that was not taken.
func (j *job) freeSource() {
	if j.source != nil {
		j.relay.sender.Free(j.source)
		j.source = nil
	}
}

// begin counts the request at an endpoint until the function that it returns is called, and notes what the choice went by.
func (j *job) begin(e *roster.Endpoint, unread int) func() {
	j.waiting, j.unreadThere = e.PrefillLoad(), unread
	return e.Begin(unread)
}

func (j *job) decided(step string, e *roster.Endpoint, status int, reason string, err error) {
	now := j.relay.clock.Now()
	d := Decision{
		Request:   j.request.ID,
		Step:      step,
		Workspace: j.workspace,
		Version:   j.version,
		Attempt:   j.sent,
		Age:       now.Sub(j.request.Arrived),
		Status:    status,
		Reason:    reason,
		Err:       err,
	}
	if j.route != nil {
		d.Route = j.route.Name
	}
	if !j.deadline.IsZero() {
		d.Left = j.deadline.Sub(now)
	}
	if e != nil {
		d.Endpoint = e.Entry().ID
		d.Waiting, d.Unread = j.waiting, j.unreadThere
		d.Pause, j.pause = j.pause, 0
	}
	j.relay.observer.Decided(d)
}

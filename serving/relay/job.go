package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"cowslipshunt.example/serving/placement"
	"cowslipshunt.example/serving/quota"
	"cowslipshunt.example/serving/retry"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/serving/route"
	"cowslipshunt.example/wire"
)

// job is the state of one request while it is served.
type job struct {
	relay   *Relay
	request *Request
	caller  Caller
	// tieBreak is a random number that orders endpoints of equal cost.
	tieBreak uint64

	version   route.Version
	route     *route.Route
	service   *route.Service
	workspace wire.WorkspaceName
	rank      int
	// limited is the workspace if it has a quota, and nil otherwise. grant is what the request has taken from it, charged the sends that
	// have been paid for. ended is set once run has returned, without a panic.
	limited  *route.Workspace
	grant    *quota.Grant
	charged  int
	ended    bool
	deadline time.Time
	budget   *retry.Budget

	// sent counts the sends that may have reached an endpoint, except successful prefills. Once it is above 0, each further send is
	// taken from the retry budget. possibleRuns counts the sends that may have made an endpoint run the request.
	sent, possibleRuns int
	// sendIsPaid is set while the next send has already been taken from the retry budget, at paidAt.
	sendIsPaid bool
	paidAt     time.Time
	// tookRetry is set if the send allowed last was taken from the retry budget.
	tookRetry bool
	// prefills counts the engines that were asked to prefill the prompt for the next send.
	prefills int
	// metered is set once the request is metered.
	metered bool
	// excluded holds the endpoints that failed or rejected the request.
	excluded []wire.EndpointId
	// full is set while all open endpoints of the stage chosen last hold as many bytes as they may.
	full   bool
	source *Source
	// sourceLost is set if a KV cache was given up because the endpoint that holds it asked for a pause.
	sourceLost bool
	// suspected is set if the request broke off at an endpoint as others with the same parts did.
	suspected bool
	// refusedFor is why the request is not sent, if it is not for lack of an endpoint.
	refusedFor string
	// returnAfter is when the client should return if the prompt is in quarantine or the engines have too much to do.
	returnAfter time.Duration
	// pause is how long the endpoint that failed last is avoided; it is reset once it is logged.
	pause time.Duration
	// exchange is the send or prefill in progress, or the one that ended last without an answer for the caller; nil before the first.
	exchange *exchange
	// streaming is set once the caller has the head of a stream; lastEvent is the id of the last event, if any.
	streaming bool
	lastEvent string
	sequence  sequence

	// mu guards the job while another endpoint is asked to take the request over; see handover.
	mu sync.Mutex
	// handover is nil while no other endpoint is asked; handovers counts those whose goroutine has not ended.
	handover  *handover
	handovers sync.WaitGroup
}

// admit finds the route and workspace of a request and returns nil, or returns why the request is refused. An instance that is about to stop
// refuses what may still be running when it ends.
func (j *job) admit() *Refusal {
	t := j.relay.table.Load()
	if t == nil {
		return &Refusal{Verdict: NotRun, Reason: "no configuration yet", RetryAfter: refusalRetryAfter}
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
		w := t.WorkspaceForKey(j.request.Key)
		if w == nil {
			return &Refusal{Verdict: NoKey, Reason: "no workspace holds the key"}
		}
		j.workspace = w.Name
		if w.Quota.Limited() {
			j.limited = w
		}
		if w.HasRank {
			j.rank = w.Rank
		}
	}
	name := j.route.ChooseService(rand.Float64())
	j.service = t.Services[name]
	if j.service == nil {
		j.service = &route.Service{Name: name}
	}
	j.budget = j.relay.budget(name)
	timeout := j.route.Timeout
	if j.request.ClientTimeout > 0 {
		timeout = min(timeout, j.request.ClientTimeout)
	}
	j.deadline = j.request.Arrived.Add(timeout)
	j.lastEvent = j.request.LastEvent
	if end := j.relay.stopAt.Load(); end != nil && j.deadline.After(*end) {
		return &Refusal{Verdict: NotRun, Reason: ErrStopping.Error(), RetryAfter: refusalRetryAfter}
	}
	return nil
}

// need returns the requirements on the endpoint of the next send.
func (j *job) need(stage roster.Stage) placement.Need {
	return placement.Need{
		Stage: stage, Near: j.relay.domain, Excluded: j.excluded, OnDemandOnly: j.route.Kind == route.Once,
		Contended: j.service.Contended, TieBreak: j.tieBreak,
	}
}

// endpoints returns the endpoints of the service that meet a need. Those in other failure domains that are unreachable are
// excluded, unless no endpoint would remain.
func (j *job) endpoints(need placement.Need) []*roster.Endpoint {
	now := j.relay.clock.Now()
	eligible := j.withRoom(placement.Eligible(j.relay.directory.View().Service(j.service.Name), need, now))
	unreachable := j.relay.reachability.Unreachable(now)
	if unreachable == nil {
		return eligible
	}
	reachable := make([]*roster.Endpoint, 0, len(eligible))
	for _, e := range eligible {
		if d := e.Entry().Domain; d == j.relay.domain || !unreachable[d] {
			reachable = append(reachable, e)
		}
	}
	if len(reachable) == 0 {
		return eligible
	}
	return reachable
}

// newAttempt returns the attempt for the next send, which runs the whole request.
func (j *job) newAttempt() *Attempt {
	return &Attempt{
		Request:   j.request,
		Workspace: j.workspace,
		Deadline:  j.deadline,
		LastEvent: j.lastEvent,
	}
}

// allowSend reports whether the request may be sent now. Once an earlier send counts in sent, each
// further one is taken from the retry budget.
func (j *job) allowSend() bool {
	j.tookRetry = false
	return j.sent == 0 && !j.sendIsPaid || j.takeRetry()
}

// takeRetry takes a send from the retry budget, or uses one that was taken before, and reports whether there was one.
func (j *job) takeRetry() bool {
	now, taken := j.relay.clock.Now(), false
	if j.sendIsPaid {
		j.sendIsPaid = false
		taken = j.budget.Renew(j.paidAt, now)
	} else {
		taken = j.budget.TakeRetry(now)
	}
	j.tookRetry = taken
	return taken
}

// payNext records that the next send was taken from the retry budget.
func (j *job) payNext(at time.Time) {
	j.sendIsPaid, j.paidAt = true, at
}

// mayRun reports whether the request may run at an endpoint. If it may have run before, its route must allow a further run, and the last
// event that was delivered must have an id.
func (j *job) mayRun() bool {
	if j.possibleRuns == 0 {
		return true
	}
	return j.route.Repeatable() && j.possibleRuns < j.route.MaxAttempts && !j.sequence.unnumbered
}

// meterOnce meters the request unless that has been done. It is called once the request has run or may have run.
func (j *job) meterOnce() {
	if !j.metered {
		j.metered = true
		j.relay.meter.Began(j.workspace)
	}
}

// refuse ends the request without an endpoint's answer.
func (j *job) refuse(r Refusal) {
	j.observe(StepRefused, nil, 0, r.Verdict.String()+": "+r.Reason, nil)
	j.caller.Refuse(r)
}

// fail ends a request that no endpoint answered completely. A stream that has begun is aborted; any other request is refused with
// the strongest verdict that holds.
func (j *job) fail(ctx context.Context, reason string) {
	j.freeSource()
	switch {
	case j.streaming:
		j.observeEnd(ctx, StepAborted, reason)
		j.caller.Abort()
	case j.possibleRuns == 0:
		j.refuseEnded(ctx, Refusal{Verdict: NotRun, Reason: reason, RetryAfter: j.retryAfter(ctx)})
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		j.refuseEnded(ctx, Refusal{Verdict: Expired, Reason: reason})
	default:
		j.refuseEnded(ctx, Refusal{Verdict: Unknown, Reason: reason})
	}
}

// retryAfter returns when the client of a request that has not run should retry; 0 states no time, as the client's own time is over.
func (j *job) retryAfter(ctx context.Context) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	if j.returnAfter > 0 {
		return j.returnAfter
	}
	if d := j.firstReturn(); d > 0 {
		return d + time.Duration(rand.Float64()*float64(min(max(d/2, minReturnSpread), maxReturnSpread)))
	}
	return refusalRetryAfter
}

// refuseEnded refuses a request for which an endpoint may have been working.
func (j *job) refuseEnded(ctx context.Context, r Refusal) {
	j.observeEnd(ctx, StepRefused, r.Verdict.String()+": "+r.Reason)
	j.caller.Refuse(r)
}

// freeSource frees a prefilled KV cache that no decode engine has fetched.
func (j *job) freeSource() {
	if j.source != nil {
		j.free(j.source)
		j.source = nil
	}
}

// freeHandle frees the KV cache of a prefill that is not needed.
func (j *job) freeHandle(s *send) {
	if s.handle != "" {
		j.free(&Source{Endpoint: s.endpoint, Handle: s.handle})
	}
}

func (j *job) free(s *Source) {
	r, e, id := j.relay, s.Endpoint, j.request.ID
	r.sender.Free(s, func(a *Answer) { r.note(e, a, sourceFree, id) })
}

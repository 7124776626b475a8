package relay

import (
	"context"
	"strings"
)

// observe passes a decision on the request to the observer. The exchange is nil if the decision concerns no endpoint.
func (j *job) observe(step string, x *exchange, status int, reason string, err error) {
	d := j.decision(step, reason, err)
	d.Status = status
	if x != nil {
		j.describeEndpoint(&d, x)
	}
	j.relay.observer.Decided(d)
}

// observeFailure passes a failed send to the observer, and whether the endpoint may have received it.
func (j *job) observeFailure(x *exchange, reached bool, err error) {
	d := j.decision("Failed", "the send failed or the answer broke off; this request avoids the endpoint", err)
	j.describeEndpoint(&d, x)
	if reached {
		d.Events, d.Parts = x.events, j.request.Prompt.SharedNames()
	}
	j.relay.observer.Decided(d)
}

// observeEnd passes the end of a request to the observer, with the endpoint that held it last, for how long, and what it had answered.
func (j *job) observeEnd(ctx context.Context, step, reason string) {
	d := j.decision(step, reason, context.Cause(ctx))
	if x := j.exchange; x != nil {
		j.describeEndpoint(&d, x)
		d.Status, d.Held = x.status, x.held(j.relay.clock.Now())
		if d.Err == nil {
			d.Err = x.err
		}
	}
	j.relay.observer.Decided(d)
}

// budgetUsage returns the state of the retry budget of the request's service, or nil if the reason of a decision is not the budget.
func (j *job) budgetUsage(reason string) *BudgetUsage {
	if j.budget == nil || !strings.HasSuffix(reason, budgetReason) {
		return nil
	}
	retries, allowed := j.budget.Usage(j.relay.clock.Now())
	return &BudgetUsage{Retries: retries, Allowed: allowed}
}

// decision returns a decision on the request that concerns no endpoint.
func (j *job) decision(step, reason string, err error) Decision {
	now := j.relay.clock.Now()
	d := Decision{
		Request:   j.request.ID,
		Step:      step,
		Workspace: j.workspace,
		Version:   j.version,
		Attempt:   j.sent,
		Age:       now.Sub(j.request.Arrived),
		Budget:    j.budgetUsage(reason),
		Reason:    reason,
		Err:       err,
	}
	if j.route != nil {
		d.Route = j.route.Name
	}
	if !j.deadline.IsZero() {
		d.Left = j.deadline.Sub(now)
	}
	return d
}

// describeEndpoint adds the endpoint of an exchange and what was known of it to a decision.
func (j *job) describeEndpoint(d *Decision, x *exchange) {
	d.Endpoint = x.endpoint.Entry().ID
	d.Waiting, d.Unread = x.queued, x.unread
	d.Pause, j.pause = j.pause, 0
}

package relay

import (
	"context"
	"errors"

	"cowslipshunt.example/serving/quota"
	"cowslipshunt.example/serving/route"
)

// Quota limits what workspaces request over all instances. It is implemented by *quota.Manager.
type Quota interface {
	// Take takes the cost of a request from the quota of its workspace. The error is a *quota.RefusedError, or that of ctx.
	Take(ctx context.Context, w *route.Workspace, cost quota.Cost) (*quota.Grant, error)
}

// WithQuota sets what limits the requests of workspaces that have a quota. Without it there are no limits.
func WithQuota(q Quota) Option {
	return func(r *Relay) {
		r.quota = q
	}
}

// overQuotaReason is why a request is refused that is over the quota of its workspace.
const overQuotaReason = "the workspace is over its quota"

// takeQuota takes the request's cost from the quota of its workspace, if that has one, and reports whether the request may run. Otherwise it
// has been refused.
func (j *job) takeQuota(ctx context.Context) bool {
	w := j.limited
	if w == nil || j.relay.quota == nil {
		return true
	}
	j.noteCounts(w)
	grant, err := j.relay.quota.Take(ctx, w, quota.CostOf(w.Quota, &j.request.Prompt))
	if err == nil {
		j.grant = grant
		return true
	}
	var refused *quota.RefusedError
	if !errors.As(err, &refused) {
		j.fail(ctx, endReason(ctx))
		return false
	}
	j.observe(StepRefused, nil, 0, OverQuota.String()+": "+overQuotaReason, refused)
	j.caller.Refuse(Refusal{Verdict: OverQuota, Reason: overQuotaReason, RetryAfter: refused.RetryAfter})
	return false
}

// StepCountsRejected is the step of a decision to charge a request as one without token counts, as it has counts that have no meaning.
const StepCountsRejected = "TokenCountsRejected"

// noteCounts observes, once for each workspace with a quota of tokens, that the token counts of a request have no meaning.
func (j *job) noteCounts(w *route.Workspace) {
	if w.Quota.Unit != route.Tokens || quota.ValidCounts(&j.request.Prompt) {
		return
	}
	if _, known := j.relay.rejectedCounts.LoadOrStore(w.Name, true); !known {
		j.observe(StepCountsRejected, nil, 0, "a token count is negative or too large; the request costs as much as one without counts", nil)
	}
}

// grantHolds reports whether the request may be sent by its grant. A grant that is too old, because the instance was suspended, is given back,
// and the quota is asked again; if that refuses, so is the request. The grant of a request that was sent or prefilled has been used.
func (j *job) grantHolds(ctx context.Context) bool {
	if j.grant == nil || j.charged > 0 || j.source != nil || !j.grant.Expired() {
		return true
	}
	j.grant.Refund(1)
	j.grant = nil
	return j.takeQuota(ctx)
}

// chargeSend counts a send that runs the request. The first one is paid for by the grant, and each further one costs as much again.
func (j *job) chargeSend() {
	if j.grant == nil {
		return
	}
	if j.charged > 0 {
		j.grant.Again()
	}
	j.charged++
}

// settleQuota gives back the cost of the sends that no endpoint can have run. After a panic, it is not known whether an endpoint has run the
// last one.
func (j *job) settleQuota() {
	if j.grant != nil && (j.ended || j.charged == 0) {
		j.grant.Refund(max(j.charged, 1) - j.possibleRuns)
	}
}

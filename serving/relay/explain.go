package relay

import (
	"math/rand/v2"
	"time"

	"cowslipshunt.example/serving/placement"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/serving/route"
	"cowslipshunt.example/wire"
)

// Question describes a request for Explain.
type Question struct {
	Host, Path string
	// Workspace is the workspace in whose name the request would be sent; it is not needed for a public route.
	Workspace wire.WorkspaceName
	// ClientTimeout is how long the client would wait; 0 if unknown.
	ClientTimeout time.Duration
	Prompt        placement.Prompt
}

// Outcome is what would happen to a request now.
type Outcome string

// The outcomes.
const (
	OutcomeRun    Outcome = "run"
	OutcomeRefuse Outcome = "refuse"
)

// Explanation says where a request would go now and why.
type Explanation struct {
	Outcome Outcome
	// Verdict and Reason say why a request would be refused, RetryAfter when its client should retry; it has no jitter.
	Verdict    Verdict
	Reason     string
	RetryAfter time.Duration
	Version    route.Version
	Route      string
	Workspace  wire.WorkspaceName
	Rank       int
	Service    wire.ServiceName
	Contended  bool
	Timeout    time.Duration
	// Choices are the choices of an endpoint in their order: of the one that prefills the prompt first, if that is a separate one.
	Choices []Choice
}

// Choice is a choice of one endpoint.
type Choice struct {
	Stage  roster.Stage
	Chosen *roster.Endpoint
	// Unavailable are the endpoints of the stage that get no requests now.
	Unavailable []*roster.Endpoint
	// Costs are those of the others. They are zero for endpoints that are no engines, whose requests in flight decide. For a decode engine that
	// fetches a KV cache they are those of an empty prompt near that cache.
	Costs []placement.Cost
}

// Explain says where a request would go now and why, without sending it or changing anything. It does not consult the workspace's quota. Of
// several services of a route it takes the one with the largest share.
func (r *Relay) Explain(q *Question) *Explanation {
	x := &Explanation{Outcome: OutcomeRun}
	t := r.table.Load()
	if t == nil {
		return x.refuse(NotRun, "no configuration yet", refusalRetryAfter)
	}
	x.Version = t.Version
	found := t.Find(q.Host, q.Path)
	if found == nil {
		return x.refuse(NoRoute, "no route matches", 0)
	}
	x.Route, x.Rank, x.Timeout = found.Name, found.Rank, found.Timeout
	if q.ClientTimeout > 0 {
		x.Timeout = min(x.Timeout, q.ClientTimeout)
	}
	if !found.Public {
		w := t.WorkspaceNamed(q.Workspace)
		if w == nil {
			return x.refuse(NoKey, "no workspace of this name holds a key", 0)
		}
		x.Workspace = w.Name
		if w.HasRank {
			x.Rank = w.Rank
		}
	}
	x.Service = mainService(found)
	s := t.Services[x.Service]
	if s == nil {
		s = &route.Service{Name: x.Service}
	}
	x.Contended = s.Contended
	if end := r.stopAt.Load(); end != nil && r.clock.Now().Add(x.Timeout).After(*end) {
		return x.refuse(NotRun, ErrStopping.Error(), refusalRetryAfter)
	}
	return r.explainChoice(x, found, s, q)
}

// explainChoice adds the choices of endpoints.
func (r *Relay) explainChoice(x *Explanation, found *route.Route, s *route.Service, q *Question) *Explanation {
	// The job is never run; it has what the choice of an endpoint needs.
	now := r.clock.Now()
	j := &job{
		relay: r, request: &Request{Prompt: q.Prompt, Arrived: now}, tieBreak: rand.Uint64(), route: found, service: s, rank: x.Rank,
		deadline: now.Add(x.Timeout),
	}
	if r.quarantine.Holds(&q.Prompt) {
		return x.refuse(NotRun, quarantineReason, refusalRetryAfter)
	}
	last := j.explainEngines(x)
	switch {
	case j.refusedFor != "":
		return x.refuse(NotRun, j.refusedFor, j.returnAfter)
	case last != nil:
		return x
	}
	retryAfter := j.firstReturn()
	if retryAfter <= 0 {
		retryAfter = refusalRetryAfter
	}
	return x.refuse(NotRun, j.noEndpointReason(), retryAfter)
}

// explainEngines adds the choices that lead to the endpoint that would answer, and returns that. It sets refusedFor if the request would be
// sent in vain.
func (j *job) explainEngines(x *Explanation) *roster.Endpoint {
	if j.service.Engine == nil {
		return j.explain(x, roster.NoStage, nil)
	}
	var source *roster.Endpoint
	if j.request.Prompt.Tokens > maxDecodePrefillTokens {
		source = j.explain(x, roster.Prefill, nil)
		if source != nil && j.chooseOverflow(source) != nil {
			source = nil
		} else if source != nil && j.overloaded(source) {
			return nil
		}
	}
	last := j.explain(x, roster.Decode, source)
	if source == nil && last != nil && j.overloaded(last) {
		return nil
	}
	return last
}

// explain adds the choice of an endpoint of a stage, which fetches the KV cache of the source unless that is nil, and returns the endpoint.
func (j *job) explain(x *Explanation, stage roster.Stage, source *roster.Endpoint) *roster.Endpoint {
	need, now, p := j.need(stage), j.relay.clock.Now(), &j.request.Prompt
	if source != nil {
		need.Near, p = source.Entry().Domain, &placement.Prompt{}
	}
	eligible := j.endpoints(need)
	c := Choice{Stage: stage}
	if stage == roster.NoStage {
		c.Chosen = placement.LeastBusy(eligible, need, j.tieBreak)
		for _, e := range eligible {
			c.Costs = append(c.Costs, placement.Cost{Endpoint: e, Rank: -1, Candidate: true})
		}
	} else {
		switch {
		case source != nil:
			c.Chosen = placement.ChooseDecodeNearSource(eligible, &j.request.Prompt, need, need.Near, now)
			need.Contended = true // No cost is added for the rendezvous order of the prompt.
		case stage == roster.Prefill:
			c.Chosen = placement.ChoosePrefill(eligible, p, need, now)
		default:
			c.Chosen = placement.ChooseDecode(eligible, p, need, now)
		}
		c.Costs = placement.Costs(eligible, p, need, now)
		for i := range c.Costs {
			if source != nil {
				c.Costs[i].Rank, c.Costs[i].Candidate = -1, true
			}
		}
	}
	open := make(map[*roster.Endpoint]bool, len(eligible))
	for _, e := range eligible {
		open[e] = true
	}
	for _, e := range j.relay.directory.View().Service(j.service.Name) {
		if e.Entry().Stage == stage && !open[e] {
			c.Unavailable = append(c.Unavailable, e)
		}
	}
	x.Choices = append(x.Choices, c)
	return c.Chosen
}

// refuse makes the outcome a refusal.
func (x *Explanation) refuse(v Verdict, reason string, retryAfter time.Duration) *Explanation {
	x.Outcome, x.Verdict, x.Reason, x.RetryAfter = OutcomeRefuse, v, reason, retryAfter
	return x
}

// mainService returns the service with the largest share of a route's requests.
func mainService(r *route.Route) wire.ServiceName {
	var best route.Share
	for i, s := range r.Shares {
		if i == 0 || s.Weight > best.Weight {
			best = s
		}
	}
	return best.Service
}

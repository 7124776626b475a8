package answer

import (
	"context"
	"errors"
	"net/http"
	"time"

	"cowslipshunt.example/entry/visit"
	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/shared/piece"
	"cowslipshunt.example/shared/problem"
	"cowslipshunt.example/shared/queue"
	"cowslipshunt.example/wire"
	"github.com/VictoriaMetrics/metrics"
)

// Sizes of a prompt's blocks, by which an entry remembers where it sent what.
const (
	keyTokens = 256
	keyBytes  = keyTokens * bytesPerToken
)

// Weights of service where a model has no prices: an output token takes longer than a prompt token.
const (
	promptWeight = 1
	outputWeight = 4
)

// tokensInPrice is how many tokens a price is for.
const tokensInPrice = 1000

var queueWait = metrics.NewHistogram("entry_queue_wait_seconds")

// Refusals by their reason.
var (
	refusedEarly = metrics.NewCounter(`entry_queue_refusals_total{reason="Early"}`)
	refusedFull  = metrics.NewCounter(`entry_queue_refusals_total{reason="Full"}`)
	refusedLate  = metrics.NewCounter(`entry_queue_refusals_total{reason="Late"}`)
)

// placements count the slots taken by their reason.
var placements = map[endpoint.Reason]*metrics.Counter{
	endpoint.Cached: metrics.NewCounter(`entry_placements_total{reason="Cached"}`),
	endpoint.Shed:   metrics.NewCounter(`entry_placements_total{reason="Shed"}`),
	endpoint.Spread: metrics.NewCounter(`entry_placements_total{reason="Spread"}`),
	endpoint.Left:   metrics.NewCounter(`entry_placements_total{reason="Left"}`),
}

// slot waits for a slot at an engine, one that has not failed this request if there is any.
func (s *Server) slot(ctx context.Context, v *visit.Visit, model document.Model, x *exchange, failed []wire.EndpointId) (*endpoint.Slot, error) {
	ctx, cancel := context.WithTimeout(ctx, s.limits.Queue)
	defer cancel()
	request := queue.Request{Workspace: v.Workspace.Name, Weight: v.Workspace.Weight}
	if x.attempt == 0 {
		request.Estimate = x.guessed(model)
		request.Within = s.limits.Queue
	}
	request.Choose = func() *endpoint.Slot {
		return s.choose(model.Name, x.prompt, failed)
	}
	began := s.clock.Now()
	slot, err := s.queues.Get(string(model.Name)).Acquire(ctx, request)
	waited := s.clock.Since(began)
	queueWait.Update(waited.Seconds())
	x.queued += waited
	if err == nil {
		x.placement = slot.Reason
		placements[slot.Reason].Inc()
	}
	return slot, err
}

func (s *Server) choose(model wire.ModelName, prompt endpoint.Prompt, failed []wire.EndpointId) *endpoint.Slot {
	list := s.directory.View().Model(model)
	now := s.clock.Now()
	if slot := endpoint.Choose(list, endpoint.Need{Not: failed, Prompt: prompt}, now, random); slot != nil || len(failed) == 0 {
		return slot
	}
	return endpoint.Choose(list, endpoint.Need{Prompt: prompt}, now, random)
}

func (s *Server) queueRefusal(x *exchange, err error) *problem.Problem {
	if errors.Is(err, queue.ErrFull) {
		refusedFull.Inc()
		return x.refusal(http.StatusTooManyRequests, "%v", err)
	}
	var late *queue.LateError
	if errors.As(err, &late) {
		refusedEarly.Inc()
		return x.refusal(http.StatusServiceUnavailable, "%v", late).After(late.RetryAfter())
	}
	refusedLate.Inc()
	return x.refusal(http.StatusServiceUnavailable, "no engine was free in time")
}

// forward passes a request on to a domain that can serve it if this one has no engine for it or all of them are paused. It
// tells whether the request is served; one that no peer took may wait here for a pause to end.
func (s *Server) forward(w http.ResponseWriter, r *http.Request, v *visit.Visit, model wire.ModelName, data []byte) (bool, *problem.Problem) {
	list := s.directory.View().Model(model)
	if v.Forwarded || endpoint.Unpaused(list, endpoint.Need{}, s.clock.Now()) {
		return false, nil
	}
	p := s.forwarder.Forward(w, r, v, data)
	wait := p != nil && p.Outcome == problem.NotRun && endpoint.Suited(list, endpoint.Need{}) > 0
	return !wait, p
}

// prompt returns what the choice of an engine knows of the prompt. The text itself is not kept.
func (q *request) prompt() endpoint.Prompt {
	text := q.body["prompt"]
	if q.chat {
		text = q.body["messages"]
	}
	return endpoint.Prompt{Tokens: int(q.estimate()), Keys: piece.Keys(text, keyBytes), KeyTokens: keyTokens}
}

// guessed is the service that a request is charged before its usage is known.
func (x *exchange) guessed(m document.Model) queue.Service {
	return service(m, x.query.estimate(), x.query.maxOutput())
}

// service is what tokens weigh in the queue.
func service(m document.Model, prompt, output wire.TokenCount) queue.Service {
	if m.PromptPrice == 0 && m.OutputPrice == 0 {
		return queue.Service(prompt*promptWeight + output*outputWeight)
	}
	return queue.Service(int(prompt)*int(m.PromptPrice)+int(output)*int(m.OutputPrice)) / tokensInPrice
}

// cost prices tokens, rounded up to a whole unit.
func cost(m document.Model, prompt, output wire.TokenCount) wire.CostMicros {
	total := int(prompt)*int(m.PromptPrice) + int(output)*int(m.OutputPrice)
	return wire.CostMicros((total + tokensInPrice - 1) / tokensInPrice)
}

// noteStart notes an event that an engine sent: its prefill is done.
func (x *exchange) noteStart(slot *endpoint.Slot, now time.Time) {
	slot.Started()
	if x.firstAt.IsZero() {
		x.firstAt = now
	}
}

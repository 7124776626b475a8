package answer

import (
	"context"
	"errors"
	"net/http"
	"time"

	"cowslipshunt.example/entry/admission"
	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/shared/problem"
	"cowslipshunt.example/shared/promptblock"
	"cowslipshunt.example/shared/queue"
	"cowslipshunt.example/wire"
	"github.com/VictoriaMetrics/metrics"
)

// Size of the blocks into which a prompt is split. The entry records which blocks it sent to each engine, to find the engine
// that is likely to have the prompt in its prefix cache.
const (
	blockTokens = 256
	blockBytes  = blockTokens * bytesPerToken
)

// Weights of tokens in the queue for a model without prices. An output token takes longer to compute than a prompt token.
const (
	promptWeight = 1
	outputWeight = 4
)

// tokensPerPrice is the number of tokens to which a price in the document applies.
const tokensPerPrice = 1000

var queueWait = metrics.NewHistogram("entry_queue_wait_seconds")

// Requests that the queue refused, by reason.
var (
	refusedEarly = metrics.NewCounter(`entry_queue_refusals_total{reason="Early"}`)
	refusedFull  = metrics.NewCounter(`entry_queue_refusals_total{reason="Full"}`)
	refusedLate  = metrics.NewCounter(`entry_queue_refusals_total{reason="Late"}`)
)

// placements counts the slots taken, by the reason for the choice of the engine.
var placements = map[endpoint.Reason]*metrics.Counter{
	endpoint.Cached: metrics.NewCounter(`entry_placements_total{reason="Cached"}`),
	endpoint.Shed:   metrics.NewCounter(`entry_placements_total{reason="Shed"}`),
	endpoint.Spread: metrics.NewCounter(`entry_placements_total{reason="Spread"}`),
	endpoint.Left:   metrics.NewCounter(`entry_placements_total{reason="Left"}`),
}

// acquireSlot waits for a slot at an engine, for up to the queue limit. It prefers engines that have not failed this request.
// Only the first attempt carries an estimate, which the queue charges and by which it may refuse the request early.
func (s *Server) acquireSlot(ctx context.Context, admitted *admission.Request, model document.Model, x *exchange) (*endpoint.Slot, error) {
	request := s.queueRequest(admitted, model, x, x.failed)
	if x.attempt == 0 {
		request.Estimate = x.estimatedService(model)
		request.MaxWait = s.limits.Queue
	}
	start := s.clock.Now()
	slot, err := s.waitForSlot(ctx, model, request)
	waited := s.clock.Since(start)
	queueWait.Update(waited.Seconds())
	x.queueTime += waited
	return slot, err
}

// queueRequest returns a request for a slot, without an estimate, that prefers engines that are not listed in avoided.
func (s *Server) queueRequest(admitted *admission.Request, model document.Model, x *exchange, avoided []wire.EndpointId) queue.Request {
	choose := func() *endpoint.Slot {
		return s.chooseSlot(model.Name, x.prompt, avoided)
	}
	return queue.Request{Workspace: admitted.Workspace.Name, Weight: admitted.Workspace.Weight, Choose: choose}
}

// waitForSlot waits for a slot for up to the queue limit.
func (s *Server) waitForSlot(ctx context.Context, model document.Model, request queue.Request) (*endpoint.Slot, error) {
	ctx, cancel := context.WithTimeout(ctx, s.limits.Queue)
	defer cancel()
	return s.queues.Get(string(model.Name)).Acquire(ctx, request)
}

// freeSlot frees a slot and serves the queue again.
func (s *Server) freeSlot(model document.Model, slot *endpoint.Slot) {
	slot.Release()
	s.queues.Get(string(model.Name)).Wake()
}

// chooseSlot takes a slot at an engine that has not failed this request, or at any engine if there is none. It returns nil if
// no engine has a free slot.
func (s *Server) chooseSlot(model wire.ModelName, prompt endpoint.Prompt, failed []wire.EndpointId) *endpoint.Slot {
	endpoints := s.directory.View().Model(model)
	now := s.clock.Now()
	if slot := endpoint.Choose(endpoints, endpoint.Need{Excluded: failed, Prompt: prompt}, now, rng); slot != nil || len(failed) == 0 {
		return slot
	}
	return endpoint.Choose(endpoints, endpoint.Need{Prompt: prompt}, now, rng)
}

// queueRefusal converts an error of the queue into a refusal and counts it by reason.
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

// forward sends the request to another failure domain if this one has no engine for it, or if all of its engines are paused.
// It reports whether the request needs no further handling here. A request that every peer rejected is queued here if this
// failure domain has an engine for it, until an engine's pause ends.
func (s *Server) forward(w http.ResponseWriter, r *http.Request, admitted *admission.Request, model wire.ModelName, data []byte) (bool, *problem.Problem) {
	endpoints := s.directory.View().Model(model)
	if admitted.Forwarded || endpoint.AnyUnpaused(endpoints, endpoint.Need{}, s.clock.Now()) {
		return false, nil
	}
	p := s.forwarder.Forward(w, r, admitted, data)
	queueHere := p != nil && p.Outcome == problem.NotRun && endpoint.CountEligible(endpoints, endpoint.Need{}) > 0
	return !queueHere, p
}

// prompt returns the estimated length and block keys by which an engine is chosen. It does not keep the text itself.
func (q *modelRequest) prompt() endpoint.Prompt {
	text := q.body["prompt"]
	if q.chat {
		text = q.body["messages"]
	}
	return endpoint.Prompt{Tokens: int(q.estimatePromptTokens()), Keys: promptblock.Keys(text, blockBytes), KeyTokens: blockTokens}
}

// estimatedService returns the service that the queue charges for a request before its usage is known.
func (x *exchange) estimatedService(m document.Model) queue.Service {
	return serviceUnits(m, x.request.estimatePromptTokens(), x.request.maxOutput())
}

// serviceUnits returns the service that the queue charges for tokens: their price, or their weighted count for a model without
// prices.
func serviceUnits(m document.Model, prompt, output wire.TokenCount) queue.Service {
	if m.PromptPrice == 0 && m.OutputPrice == 0 {
		return queue.Service(prompt*promptWeight + output*outputWeight)
	}
	return queue.Service(int(prompt)*int(m.PromptPrice)+int(output)*int(m.OutputPrice)) / tokensPerPrice
}

// cost returns the price of tokens, rounded up to a whole unit.
func cost(m document.Model, prompt, output wire.TokenCount) wire.CostMicros {
	sum := int(prompt)*int(m.PromptPrice) + int(output)*int(m.OutputPrice)
	return wire.CostMicros((sum + tokensPerPrice - 1) / tokensPerPrice)
}

// recordEvent records that an engine sent an event, which shows that its prefill is done, and when the first event arrived.
func (x *exchange) recordEvent(slot *endpoint.Slot, now time.Time) {
	slot.RecordStart()
	if x.firstEventAt.IsZero() {
		x.firstEventAt = now
	}
}

package answer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"cowslipshunt.example/entry/visit"
	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/shared/problem"
	"cowslipshunt.example/wire"
)

// run tries engines until the answer is whole, then bills it.
func (s *Server) run(ctx context.Context, v *visit.Visit, model document.Model, x *exchange) *problem.Problem {
	started := s.clock.Now()
	var failed []wire.EndpointId
	for {
		slot, err := s.slot(ctx, v, model, x, failed)
		if err != nil {
			return s.give(ctx, v, model, x, s.queueRefusal(x, err), false)
		}
		result := x.try(ctx, s.engines, slot, s.clock, s.limits.Stall)
		slot.Release()
		s.queues.Get(string(model.Name)).Wake()
		if result == nil {
			firstToken.Update(x.firstAt.Sub(started).Seconds())
			return s.finish(ctx, v, model, x)
		}
		if stop := s.failed(ctx, v, x, slot, result); stop != nil {
			return s.give(ctx, v, model, x, stop, result.Caller)
		}
		failed = append(failed, slot.State().Endpoint)
	}
}

// failed judges a failed attempt: it returns nil if another one may follow.
func (s *Server) failed(ctx context.Context, v *visit.Visit, x *exchange, slot *endpoint.Slot, result *attemptError) *problem.Problem {
	v.Log.Warn().Err(result).Str("Endpoint", string(slot.State().Endpoint)).Int("Attempt", x.attempt).Int("Delivered", len(x.delivered)).Msg("attempt failed")
	if result.Refusal != nil {
		return result.Refusal
	}
	if result.Caller || ctx.Err() != nil {
		return x.refusal(http.StatusGatewayTimeout, "the request ended: %v", context.Cause(ctx))
	}
	slot.Failed(s.clock.Now())
	if x.attempt >= maxAttempts {
		return x.refusal(http.StatusBadGateway, "%d attempts failed", x.attempt)
	}
	if !s.budget.Allow() {
		retriesSpent.Inc()
		return x.refusal(http.StatusServiceUnavailable, "this entry's budget of retries is spent")
	}
	retries.Inc()
	s.pause(ctx, rand.N(pauseAtMost))
	return nil
}

// refusal says truly whether an engine may have run the request.
func (x *exchange) refusal(status int, format string, args ...any) *problem.Problem {
	outcome := problem.NotRun
	if x.reached {
		outcome = problem.Unknown
	}
	return problem.New(status, outcome, format, args...).After(retryAfter)
}

func (s *Server) pause(ctx context.Context, d time.Duration) {
	select {
	case <-s.clock.After(d):
	case <-ctx.Done():
	}
}

var random = endpoint.NewRandom()

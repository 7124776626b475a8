package answer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"cowslipshunt.example/entry/admission"
	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/shared/problem"
	"cowslipshunt.example/wire"
)

// runAttempts sends the request to one engine after another until its answer is complete, and bills it.
func (s *Server) runAttempts(ctx context.Context, admitted *admission.Request, model document.Model, x *exchange) *problem.Problem {
	start := s.clock.Now()
	var failed []wire.EndpointId
	for {
		slot, err := s.acquireSlot(ctx, admitted, model, x, failed)
		if err != nil {
			return s.fail(ctx, admitted, model, x, s.queueRefusal(x, err), false)
		}
		attemptErr := x.runAttempt(ctx, s.engineTransport, slot, s.clock, s.limits.Stall)
		slot.Release()
		s.queues.Get(string(model.Name)).Wake()
		if attemptErr == nil {
			firstTokenSeconds.Update(x.firstEventAt.Sub(start).Seconds())
			return s.complete(ctx, admitted, model, x)
		}
		if refusal := s.retryOrRefuse(ctx, admitted, x, slot, attemptErr); refusal != nil {
			return s.fail(ctx, admitted, model, x, refusal, attemptErr.CallerGone)
		}
		failed = append(failed, slot.State().Endpoint)
	}
}

// retryOrRefuse decides what follows a failed attempt. It returns the refusal for the caller, or nil after a random delay if
// another engine may be tried.
func (s *Server) retryOrRefuse(ctx context.Context, admitted *admission.Request, x *exchange, slot *endpoint.Slot, attemptErr *attemptError) *problem.Problem {
	admitted.Log.Warn().Err(attemptErr).Str("Endpoint", string(slot.State().Endpoint)).Int("Attempt", x.attempt).Int("Delivered", len(x.delivered)).Msg("attempt at an engine failed")
	if attemptErr.Refusal != nil {
		return attemptErr.Refusal
	}
	if attemptErr.CallerGone || ctx.Err() != nil {
		return x.refusal(http.StatusGatewayTimeout, "the request ended: %v", context.Cause(ctx))
	}
	slot.RecordFailure(s.clock.Now())
	if x.attempt >= maxAttempts {
		return x.refusal(http.StatusBadGateway, "%d attempts failed", x.attempt)
	}
	if !s.retryBudget.Allow() {
		retryBudgetSpent.Inc()
		return x.refusal(http.StatusServiceUnavailable, "this entry's budget of retries is spent")
	}
	retries.Inc()
	s.sleep(ctx, rand.N(maxRetryDelay))
	return nil
}

// refusal returns a problem whose outcome is Unknown if an engine may have run the request, and NotRun otherwise.
func (x *exchange) refusal(status int, format string, args ...any) *problem.Problem {
	outcome := problem.NotRun
	if x.mayHaveRun {
		outcome = problem.Unknown
	}
	return problem.New(status, outcome, format, args...).After(retryAfter)
}

// sleep waits for d or until ctx ends.
func (s *Server) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-s.clock.After(d):
	case <-ctx.Done():
	}
}

var rng = endpoint.NewRandom()

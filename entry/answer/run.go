package answer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"cowslipshunt.example/entry/admission"
	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/shared/problem"
	"cowslipshunt.example/shared/process"
)

// runAttempts sends the request to one engine after another until its answer is complete, and bills it.
func (s *Server) runAttempts(ctx context.Context, admitted *admission.Request, model document.Model, x *exchange) *problem.Problem {
	start := s.clock.Now()
	for {
		slot, err := s.acquireSlot(ctx, admitted, model, x)
		if err != nil {
			return s.fail(ctx, admitted, model, x, s.queueRefusal(x, err), false)
		}
		attemptErr := s.follow(ctx, admitted, model, x, slot)
		if attemptErr == nil {
			firstTokenSeconds.Update(x.firstEventAt.Sub(start).Seconds())
			return s.complete(ctx, admitted, model, x)
		}
		if refusal := s.retryOrRefuse(ctx, x, attemptErr); refusal != nil {
			return s.fail(ctx, admitted, model, x, refusal, attemptErr.CallerGone)
		}
	}
}

// retryOrRefuse decides what follows a failed attempt. It returns the refusal for the caller, or nil after a random delay if
// another engine may be tried.
func (s *Server) retryOrRefuse(ctx context.Context, x *exchange, attemptErr *attemptError) *problem.Problem {
	if attemptErr.Refusal != nil {
		attemptErr.Refusal.Outcome = x.outcome()
		return attemptErr.Refusal
	}
	if errors.Is(context.Cause(ctx), process.ErrStopping) {
		return x.refusal(http.StatusServiceUnavailable, "this entry stops")
	}
	if attemptErr.CallerGone || ctx.Err() != nil {
		return x.refusal(http.StatusGatewayTimeout, "the request ended: %v", context.Cause(ctx))
	}
	if x.attempt >= maxAttempts {
		return x.refusal(http.StatusBadGateway, "%d attempts failed", x.attempt)
	}
	if !s.takeRetry() {
		return x.refusal(http.StatusServiceUnavailable, "this entry's budget of retries is spent")
	}
	s.sleep(ctx, rand.N(maxRetryDelay))
	return nil
}

// takeRetry takes a retry from the budget and reports whether it allows one.
func (s *Server) takeRetry() bool {
	if !s.retryBudget.Allow() {
		retryBudgetSpent.Inc()
		return false
	}
	retries.Inc()
	return true
}

// refusal returns a problem whose outcome is that of the exchange.
func (x *exchange) refusal(status int, format string, args ...any) *problem.Problem {
	return problem.New(status, x.outcome(), format, args...).After(retryAfter)
}

// outcome returns Unknown if an engine may have run the request, and NotRun otherwise.
func (x *exchange) outcome() problem.Outcome {
	if x.mayHaveRun {
		return problem.Unknown
	}
	return problem.NotRun
}

// sleep waits for d or until ctx ends.
func (s *Server) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-s.clock.After(d):
	case <-ctx.Done():
	}
}

var rng = endpoint.NewRandom()

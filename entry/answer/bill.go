package answer

import (
	"context"
	"errors"
	"net/http"

	"cowslipshunt.example/entry/admission"
	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/shared/problem"
	"cowslipshunt.example/wire"
)

// complete bills a complete answer and then sends its end to the caller.
func (s *Server) complete(ctx context.Context, admitted *admission.Request, model document.Model, x *exchange) *problem.Problem {
	s.bill(ctx, admitted, model, x)
	if err := x.sink.finish(x.usage); err != nil {
		answersCallerGone.Inc()
		admitted.Log.Info().Err(err).Msg("caller disconnected before the end of the answer was sent")
		panic(http.ErrAbortHandler)
	}
	answersComplete.Inc()
	admitted.Log.Info().Str("Workspace", string(admitted.Workspace.Name)).Str("Model", string(model.Name)).Int("Attempts", x.attempt).
		Int("PromptTokens", int(x.usage.Prompt)).Int("OutputTokens", int(x.usage.Completion)).
		Str("Placement", string(x.placement)).Dur("Queued", x.queueTime).Msg("model request answered")
	return nil
}

// fail ends a request whose answer cannot be completed. If the response has started, fail aborts the caller's connection, so
// that the caller cannot mistake the partial answer for a complete one. A caller that disconnected is billed for the tokens
// that were written to it; a caller whose request failed in the system is not billed.
func (s *Server) fail(ctx context.Context, admitted *admission.Request, model document.Model, x *exchange, p *problem.Problem, callerGone bool) *problem.Problem {
	callerGone = callerGone || errors.Is(context.Cause(ctx), context.Canceled)
	if callerGone && x.sink.responseStarted() {
		x.usage.Completion = wire.TokenCount(len(x.delivered))
		s.bill(context.WithoutCancel(ctx), admitted, model, x)
	}
	if callerGone {
		answersCallerGone.Inc()
	}
	if !x.sink.responseStarted() {
		return p
	}
	answersTruncated.Inc()
	admitted.Log.Warn().Str("Detail", p.Detail).Int("Delivered", len(x.delivered)).Msg("answer truncated; aborting the caller's connection")
	panic(http.ErrAbortHandler)
}

// bill records the usage of a request. It also charges the workspace in the queue for the difference between the service that the
// request received and its estimate.
func (s *Server) bill(ctx context.Context, admitted *admission.Request, model document.Model, x *exchange) {
	received := serviceUnits(model, x.usage.Prompt, x.usage.Completion)
	s.queues.Get(string(model.Name)).Charge(admitted.Workspace.Name, received-x.estimatedService(model))
	s.recorder.Record(ctx, wire.UsageFigure{
		Workspace:    admitted.Workspace.Name,
		Model:        model.Name,
		Requests:     1,
		PromptTokens: x.usage.Prompt,
		OutputTokens: x.usage.Completion,
		Cost:         cost(model, x.usage.Prompt, x.usage.Completion),
	})
}

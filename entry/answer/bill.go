package answer

import (
	"context"
	"errors"
	"net/http"

	"cowslipshunt.example/entry/visit"
	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/shared/problem"
	"cowslipshunt.example/wire"
)

// finish bills a whole answer before its end is sent.
func (s *Server) finish(ctx context.Context, v *visit.Visit, model document.Model, x *exchange) *problem.Problem {
	s.bill(ctx, v, model, x)
	if err := x.sink.end(x.usage); err != nil {
		answersGone.Inc()
		v.Log.Info().Err(err).Msg("the caller left before the answer's end")
		panic(http.ErrAbortHandler)
	}
	answersWhole.Inc()
	v.Log.Info().Str("Workspace", string(v.Workspace.Name)).Str("Model", string(model.Name)).Int("Attempts", x.attempt).
		Int("PromptTokens", int(x.usage.Prompt)).Int("OutputTokens", int(x.usage.Completion)).
		Str("Placement", string(x.placement)).Dur("Queued", x.queued).Msg("answered")
	return nil
}

// give ends an answer that cannot be made whole. If the caller has got some of it, its connection is aborted, so that the
// answer cannot be taken for a whole one. A caller who left is billed for what it got; a caller whom the system failed is
// not billed.
func (s *Server) give(ctx context.Context, v *visit.Visit, model document.Model, x *exchange, p *problem.Problem, left bool) *problem.Problem {
	gone := left || errors.Is(context.Cause(ctx), context.Canceled)
	if gone && x.sink.begun() {
		x.usage.Completion = wire.TokenCount(len(x.delivered))
		s.bill(context.WithoutCancel(ctx), v, model, x)
	}
	if gone {
		answersGone.Inc()
	}
	if !x.sink.begun() {
		return p
	}
	answersCut.Inc()
	v.Log.Warn().Str("Detail", p.Detail).Int("Delivered", len(x.delivered)).Msg("answer cut")
	panic(http.ErrAbortHandler)
}

func (s *Server) bill(ctx context.Context, v *visit.Visit, model document.Model, x *exchange) {
	received := service(model, x.usage.Prompt, x.usage.Completion)
	s.queues.Get(string(model.Name)).Charge(v.Workspace.Name, received-x.guessed(model))
	s.recorder.Record(ctx, wire.UsageFigure{
		Workspace:    v.Workspace.Name,
		Model:        model.Name,
		Requests:     1,
		PromptTokens: x.usage.Prompt,
		OutputTokens: x.usage.Completion,
		Cost:         cost(model, x.usage.Prompt, x.usage.Completion),
	})
}

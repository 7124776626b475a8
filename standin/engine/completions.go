package main

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"cowslipshunt.example/shared/standin"
	"cowslipshunt.example/wire"
)

func (e *engine) serveCompletion(s shape) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		j, err := readJob(w, r, s)
		if err != nil {
			refuse(w, http.StatusBadRequest, "invalid_request_error", err)
			return
		}
		echo(w.Header(), j.request, j.attempt)
		ctx, leave, err := e.enter(r.Context(), j.model)
		if err != nil {
			e.turnAway(w, err)
			return
		}
		defer leave()
		if err := e.slots.acquire(ctx, j.priority); err != nil {
			e.turnAway(w, err)
			return
		}
		defer e.slots.release()
		e.run(ctx, w, s, j)
	}
}

// turnAway answers a request that did not run.
func (e *engine) turnAway(w http.ResponseWriter, err error) {
	e.meters.refused.Inc()
	var model *modelError
	if errors.As(err, &model) {
		refuse(w, http.StatusNotFound, "model_not_found", err)
		return
	}
	standin.NotRun(w.Header())
	refuse(w, http.StatusServiceUnavailable, "overloaded", err)
}

func refuse(w http.ResponseWriter, status int, code string, err error) {
	details := failureDetails{Message: err.Error(), Type: "invalid_request_error", Code: code}
	if status >= http.StatusInternalServerError {
		details.Type = "server_error"
	}
	standin.WriteJSON(w, status, failure{Error: details})
}

func echo(h http.Header, request wire.RequestId, attempt int) {
	h.Set(standin.RequestHeader, string(request))
	h.Set(standin.AttemptHeader, strconv.Itoa(attempt))
}

// run runs an admitted request to its end, or cuts its connection.
func (e *engine) run(ctx context.Context, w http.ResponseWriter, s shape, j *job) {
	e.meters.ran.Inc()
	rec := j.record()
	e.requests.Add(rec)
	fault := e.fault.Take(func(f wire.EngineFault) bool { return f.Once })
	shown := e.shownRequest(j.request, fault)
	echo(w.Header(), shown, j.attempt)
	err := e.generate(ctx, j, fault, rec, newSink(w, newAnswer(s, shown, j.model, e.clock.Now().Unix()), shown, j))
	e.logger.Debug().Str("Request", string(j.request)).Int("Attempt", j.attempt).Err(err).Msg("request ended")
	switch {
	case err == nil:
		return
	case errors.Is(err, errCut):
		e.meters.cut.Inc()
	case !errors.Is(err, errCrash):
		e.meters.cancelled.Inc()
		rec.cancel()
	}
	panic(http.ErrAbortHandler)
}

// shownRequest is the request that an answer claims to be for; a crossed answer claims another.
func (e *engine) shownRequest(request wire.RequestId, fault wire.EngineFault) wire.RequestId {
	before := e.swapLast(request)
	switch {
	case !fault.WrongAttempt:
		return request
	case before == "" || before == request:
		return "crossed-" + request
	}
	return before
}

func newSink(w http.ResponseWriter, a answer, shown wire.RequestId, j *job) sink {
	if j.stream {
		return newStreamSink(w, a, shown, j)
	}
	return &plainSink{w: w, answer: a}
}

func (j *job) record() *record {
	return &record{kept: wire.EngineReceived{
		Attempt:   j.attempt,
		Header:    j.header,
		Model:     j.model,
		Prompt:    j.prompt,
		Request:   j.request,
		Resumed:   j.resumed,
		Workspace: j.workspace,
	}}
}

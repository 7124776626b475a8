package main

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"cowslipshunt.example/shared/standin"
	"cowslipshunt.example/wire"
)

func (e *engine) serveCompletion(f format) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		// A rejection has to name its request too.
		for _, name := range []string{standin.RequestHeader, standin.AttemptHeader} {
			w.Header().Set(name, r.Header.Get(name))
		}
		j, err := readJob(w, r, f)
		if err != nil {
			refuse(w, http.StatusBadRequest, "invalid_request_error", err)
			return
		}
		setEchoHeaders(w.Header(), j.request, j.attempt)
		ctx, end, err := e.admit(r.Context(), j.model)
		if err != nil {
			e.reject(w, err)
			return
		}
		defer end()
		if err := e.slots.acquire(ctx, j.priority); err != nil {
			e.reject(w, err)
			return
		}
		defer e.slots.release()
		e.run(ctx, w, f, j)
	}
}

// reject answers a request that did not run.
func (e *engine) reject(w http.ResponseWriter, err error) {
	e.counters.refused.Inc()
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

func setEchoHeaders(h http.Header, request wire.RequestId, attempt int) {
	h.Set(standin.RequestHeader, string(request))
	h.Set(standin.AttemptHeader, strconv.Itoa(attempt))
}

// run generates the answer to an admitted request. If generation fails, it aborts the connection.
func (e *engine) run(ctx context.Context, w http.ResponseWriter, f format, j *job) {
	e.counters.ran.Inc()
	rec := j.record()
	e.requests.Add(rec)
	fault := e.fault.Take(func(f wire.EngineFault) bool { return f.Once })
	requestID := e.answerRequestID(j.request, fault)
	setEchoHeaders(w.Header(), requestID, j.attempt)
	err := e.generate(ctx, j, fault, rec, newSink(w, newAnswer(f, requestID, j.model, e.clock.Now().Unix()), requestID, j))
	e.logger.Debug().Str("Request", string(j.request)).Int("Attempt", j.attempt).Err(err).Msg("request ended")
	switch {
	case err == nil:
		return
	case errors.Is(err, errAbortedByOrder):
		e.counters.cut.Inc()
	case !errors.Is(err, errCrash):
		e.counters.cancelled.Inc()
		rec.cancel()
	}
	panic(http.ErrAbortHandler)
}

// answerRequestID returns the request id that an answer carries. Under the WrongAttempt fault that is the id of the request
// before, or a made-up one if there is none.
func (e *engine) answerRequestID(request wire.RequestId, fault wire.EngineFault) wire.RequestId {
	before := e.swapLastRequest(request)
	switch {
	case !fault.WrongAttempt:
		return request
	case before == "" || before == request:
		return "crossed-" + request
	}
	return before
}

func newSink(w http.ResponseWriter, a answer, requestID wire.RequestId, j *job) sink {
	if j.stream {
		return newStreamSink(w, a, requestID, j)
	}
	return &plainSink{w: w, answer: a}
}

func (j *job) record() *record {
	return &record{received: wire.EngineReceived{
		Attempt:   j.attempt,
		Header:    j.header,
		Model:     j.model,
		Prompt:    j.prompt,
		Request:   j.request,
		Resumed:   j.resumedTokens,
		Workspace: j.workspace,
	}}
}

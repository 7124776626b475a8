package service

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"cowslipshunt.example/shared/booking"
	"cowslipshunt.example/shared/caller"
	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/shared/problem"
	"cowslipshunt.example/wire"
)

// maxStoredBytes bounds an answer that a claim keeps, in bytes. A larger one is passed on, and a repeat of its request is told
// that its outcome is unknown.
const maxStoredBytes = 256 << 10

// claimWriteTimeout bounds how long a claim's last state is written in the background.
const claimWriteTimeout = 10 * time.Minute

// maxIdempotencyKeyBytes bounds a caller's Idempotency-Key, in bytes.
const maxIdempotencyKeyBytes = 256

// handleClaimed passes a request on that its caller may send again: a claim makes sure that it runs at most once. Once
// claimed, it goes on also if the caller leaves, so that a repeat finds its answer.
func (s *Server) handleClaimed(w http.ResponseWriter, c *call) *problem.Problem {
	if len(c.r.Header.Get(caller.HeaderIdempotency)) > maxIdempotencyKeyBytes {
		return problem.New(http.StatusBadRequest, problem.NotRun, "the Idempotency-Key is longer than %d bytes", maxIdempotencyKeyBytes)
	}
	ctx, cancel := context.WithTimeout(c.r.Context(), s.limits.Claim)
	defer cancel()
	claim, err := s.claims.Begin(ctx, c.claimKey(), c.requestDigest())
	if err != nil {
		return s.answerUnclaimed(w, c, claim, err)
	}
	c.ctx, cancel = context.WithTimeout(context.WithoutCancel(c.ctx), s.limits.Whole)
	defer cancel()
	answer, p := s.fetch(c)
	if p != nil {
		s.settleClaim(c, claim, p.Outcome)
		return p
	}
	s.storeAnswer(c, claim, answer)
	writeAnswer(w, answer)
	answersPassed.Inc()
	return nil
}

func (c *call) claimKey() booking.Key {
	return booking.Key{
		Workspace: c.visit.Workspace.Name,
		Digest:    document.Digest([]byte(c.r.Header.Get(caller.HeaderIdempotency))),
	}
}

// requestDigest tells two requests under one key apart.
func (c *call) requestDigest() wire.Digest {
	var b bytes.Buffer
	for _, part := range []string{c.r.Method, string(c.service), c.path, caller.CleanQuery(c.r.URL.RawQuery, c.visit.Key), c.r.Header.Get("Content-Type")} {
		b.WriteString(part)
		b.WriteByte(0)
	}
	b.Write(c.body)
	return document.Digest(b.Bytes())
}

// answerUnclaimed answers a request that must not be run.
func (s *Server) answerUnclaimed(w http.ResponseWriter, c *call, claim *booking.Claim, err error) *problem.Problem {
	var done *booking.DoneError
	var other booking.OtherRequestError
	var claimed *booking.ClaimedError
	switch {
	case errors.As(err, &done):
		answersFromStore.Inc()
		writeAnswer(w, done.Answer)
		return nil
	case errors.As(err, &other):
		return problem.New(http.StatusUnprocessableEntity, problem.NotRun, "%v", other)
	case errors.As(err, &claimed):
		return problem.New(http.StatusConflict, problem.Unknown, "%v", claimed).After(retryAfter)
	}
	if claim != nil {
		s.writeInBackground(c, func(ctx context.Context) error { return s.claims.Release(ctx, claim) })
	}
	return problem.New(http.StatusServiceUnavailable, problem.Unknown, "the table cannot tell whether the request ran before").After(retryAfter)
}

// fetch gets the whole answer of a claimed request, from an endpoint here or by a peer elsewhere. It bills the request
// before anybody can have the answer, also if the caller left: a repeat gets the stored answer and is not billed. A peer
// bills what it ran itself.
func (s *Server) fetch(c *call) (booking.Answer, *problem.Problem) {
	if s.mustForward(c) {
		return s.fetchForwarded(c)
	}
	answer, p := s.fetchLocal(c)
	if p == nil {
		s.record(context.WithoutCancel(c.r.Context()), c)
	}
	return answer, p
}

func (s *Server) fetchLocal(c *call) (booking.Answer, *problem.Problem) {
	answer, e, p := s.send(c)
	if p != nil {
		return booking.Answer{}, p
	}
	defer s.wakeQueue(c)
	defer e.Release()
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxStoredBytes+1))
	if err != nil || len(body) > maxStoredBytes {
		return booking.Answer{}, problem.New(http.StatusBadGateway, problem.Unknown, "the endpoint's answer was cut or larger than %d bytes", maxStoredBytes)
	}
	return newStoredAnswer(answer.StatusCode, answer.Header, body), nil
}

func (s *Server) fetchForwarded(c *call) (booking.Answer, *problem.Problem) {
	w := &responseBuffer{header: http.Header{}, status: http.StatusOK}
	if p := s.forwardComplete(w, c); p != nil {
		return booking.Answer{}, p
	}
	if outcome := w.header.Get(caller.HeaderOutcome); outcome != "" {
		return booking.Answer{}, problem.New(w.status, problem.Outcome(outcome), "refused in another failure domain").After(retryAfter)
	}
	if w.overflow {
		return booking.Answer{}, problem.New(http.StatusBadGateway, problem.Unknown, "the answer was larger than %d bytes", maxStoredBytes)
	}
	return newStoredAnswer(w.status, w.header, w.body.Bytes()), nil
}

// forwardComplete forwards a request and turns an answer that is cut into a refusal, so that its claim gets its last state.
func (s *Server) forwardComplete(w http.ResponseWriter, c *call) (p *problem.Problem) {
	defer func() {
		switch cause := recover(); cause {
		case nil:
		case http.ErrAbortHandler:
			p = problem.New(http.StatusBadGateway, problem.Unknown, "the answer from another failure domain was cut")
		default:
			panic(cause)
		}
	}()
	return s.forwarder.Forward(w, c.r.WithContext(c.ctx), c.visit, c.body)
}

func newStoredAnswer(status int, header http.Header, body []byte) booking.Answer {
	a := booking.Answer{Status: status, Header: []wire.HeaderField{}, Body: body}
	for name, values := range caller.CleanHeader(header, "") {
		for _, value := range values {
			a.Header = append(a.Header, wire.HeaderField{Name: name, Value: value})
		}
	}
	return a
}

// storeAnswer writes the answer before the caller gets it. If the table is slow, the caller gets it all the same, and the write
// goes on behind it.
func (s *Server) storeAnswer(c *call, claim *booking.Claim, answer booking.Answer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.r.Context()), s.limits.Store)
	defer cancel()
	if err := s.claims.Finish(ctx, claim, answer); err != nil {
		c.visit.Log.Warn().Err(err).Msg("the answer is not in the table yet")
		s.writeInBackground(c, func(ctx context.Context) error { return s.claims.Finish(ctx, claim, answer) })
	}
}

// settleClaim writes what became of a claim whose request has no answer. If the table is slow, the write goes on behind.
func (s *Server) settleClaim(c *call, claim *booking.Claim, outcome problem.Outcome) {
	last := func(ctx context.Context) error {
		if outcome == problem.NotRun {
			return s.claims.Release(ctx, claim)
		}
		return s.claims.Doubt(ctx, claim)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.r.Context()), s.limits.Store)
	defer cancel()
	if last(ctx) != nil {
		s.writeInBackground(c, last)
	}
}

func (s *Server) writeInBackground(c *call, write func(context.Context) error) {
	s.claimWrites.Add(1)
	go func() {
		defer s.claimWrites.Done()
		ctx, cancel := context.WithTimeout(s.hardStop, claimWriteTimeout)
		defer cancel()
		if err := write(ctx); err != nil {
			c.visit.Log.Warn().Err(err).Msg("a claim's last state could not be written")
		}
	}()
}

func writeAnswer(w http.ResponseWriter, a booking.Answer) {
	for _, f := range a.Header {
		w.Header().Add(f.Name, f.Value)
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// responseBuffer keeps an answer of at most maxStored bytes.
type responseBuffer struct {
	header   http.Header
	status   int
	body     bytes.Buffer
	overflow bool
}

// Header returns the answer's header.
func (m *responseBuffer) Header() http.Header {
	return m.header
}

// WriteHeader keeps the status.
func (m *responseBuffer) WriteHeader(status int) {
	m.status = status
}

// Write keeps a part of the body.
func (m *responseBuffer) Write(p []byte) (int, error) {
	if m.body.Len()+len(p) > maxStoredBytes {
		m.overflow = true
		return len(p), nil
	}
	return m.body.Write(p)
}

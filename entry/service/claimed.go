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

// maxStored bounds an answer that a claim keeps, in bytes. A larger one is passed on, and a repeat of its request is told
// that its outcome is unknown.
const maxStored = 256 << 10

// settleWithin bounds how long a claim's last state is written in the background.
const settleWithin = 10 * time.Minute

// maxIdempotencyKey bounds a caller's Idempotency-Key, in bytes.
const maxIdempotencyKey = 256

// answerClaimed passes a request on that its caller may send again: a claim makes sure that it runs at most once. Once
// claimed, it goes on also if the caller leaves, so that a repeat finds its answer.
func (s *Server) answerClaimed(w http.ResponseWriter, c *call) *problem.Problem {
	if len(c.r.Header.Get(caller.HeaderIdempotency)) > maxIdempotencyKey {
		return problem.New(http.StatusBadRequest, problem.NotRun, "the Idempotency-Key is longer than %d bytes", maxIdempotencyKey)
	}
	ctx, cancel := context.WithTimeout(c.r.Context(), s.limits.Claim)
	defer cancel()
	claim, err := s.claims.Begin(ctx, c.claimKey(), c.digest())
	if err != nil {
		return s.unclaimed(w, c, claim, err)
	}
	c.ctx, cancel = context.WithTimeout(context.WithoutCancel(c.ctx), s.limits.Whole)
	defer cancel()
	answer, p := s.fetch(c)
	if p != nil {
		s.settle(c, claim, p.Outcome)
		return p
	}
	s.store(c, claim, answer)
	write(w, answer)
	passed.Inc()
	return nil
}

func (c *call) claimKey() booking.Key {
	return booking.Key{
		Workspace: c.visit.Workspace.Name,
		Digest:    document.Digest([]byte(c.r.Header.Get(caller.HeaderIdempotency))),
	}
}

// digest tells two requests under one key apart.
func (c *call) digest() wire.Digest {
	var b bytes.Buffer
	for _, part := range []string{c.r.Method, string(c.service), c.path, caller.CleanQuery(c.r.URL.RawQuery, c.visit.Key), c.r.Header.Get("Content-Type")} {
		b.WriteString(part)
		b.WriteByte(0)
	}
	b.Write(c.body)
	return document.Digest(b.Bytes())
}

// unclaimed answers a request that must not be run.
func (s *Server) unclaimed(w http.ResponseWriter, c *call, claim *booking.Claim, err error) *problem.Problem {
	var done *booking.DoneError
	var other booking.OtherRequestError
	var claimed *booking.ClaimedError
	switch {
	case errors.As(err, &done):
		stored.Inc()
		write(w, done.Answer)
		return nil
	case errors.As(err, &other):
		return problem.New(http.StatusUnprocessableEntity, problem.NotRun, "%v", other)
	case errors.As(err, &claimed):
		return problem.New(http.StatusConflict, problem.Unknown, "%v", claimed).After(retryAfter)
	}
	if claim != nil {
		s.background(c, func(ctx context.Context) error { return s.claims.Release(ctx, claim) })
	}
	return problem.New(http.StatusServiceUnavailable, problem.Unknown, "the table cannot tell whether the request ran before").After(retryAfter)
}

// fetch gets the whole answer of a claimed request, from an endpoint here or by a peer elsewhere. It bills the request
// before anybody can have the answer, also if the caller left: a repeat gets the stored answer and is not billed. A peer
// bills what it ran itself.
func (s *Server) fetch(c *call) (booking.Answer, *problem.Problem) {
	if s.elsewhere(c) {
		return s.fetchElsewhere(c)
	}
	answer, p := s.fetchHere(c)
	if p == nil {
		s.record(context.WithoutCancel(c.r.Context()), c)
	}
	return answer, p
}

func (s *Server) fetchHere(c *call) (booking.Answer, *problem.Problem) {
	answer, e, p := s.send(c)
	if p != nil {
		return booking.Answer{}, p
	}
	defer s.wake(c)
	defer e.Release()
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxStored+1))
	if err != nil || len(body) > maxStored {
		return booking.Answer{}, problem.New(http.StatusBadGateway, problem.Unknown, "the endpoint's answer was cut or larger than %d bytes", maxStored)
	}
	return newAnswer(answer.StatusCode, answer.Header, body), nil
}

func (s *Server) fetchElsewhere(c *call) (booking.Answer, *problem.Problem) {
	w := &memory{header: http.Header{}, status: http.StatusOK}
	if p := s.forwardWhole(w, c); p != nil {
		return booking.Answer{}, p
	}
	if outcome := w.header.Get(caller.HeaderOutcome); outcome != "" {
		return booking.Answer{}, problem.New(w.status, problem.Outcome(outcome), "refused in another failure domain").After(retryAfter)
	}
	if w.overflow {
		return booking.Answer{}, problem.New(http.StatusBadGateway, problem.Unknown, "the answer was larger than %d bytes", maxStored)
	}
	return newAnswer(w.status, w.header, w.body.Bytes()), nil
}

// forwardWhole forwards a request and turns an answer that is cut into a refusal, so that its claim gets its last state.
func (s *Server) forwardWhole(w http.ResponseWriter, c *call) (p *problem.Problem) {
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

func newAnswer(status int, header http.Header, body []byte) booking.Answer {
	a := booking.Answer{Status: status, Header: []wire.HeaderField{}, Body: body}
	for name, values := range caller.CleanHeader(header, "") {
		for _, value := range values {
			a.Header = append(a.Header, wire.HeaderField{Name: name, Value: value})
		}
	}
	return a
}

// store writes the answer before the caller gets it. If the table is slow, the caller gets it all the same, and the write
// goes on behind it.
func (s *Server) store(c *call, claim *booking.Claim, answer booking.Answer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.r.Context()), s.limits.Store)
	defer cancel()
	if err := s.claims.Finish(ctx, claim, answer); err != nil {
		c.visit.Log.Warn().Err(err).Msg("the answer is not in the table yet")
		s.background(c, func(ctx context.Context) error { return s.claims.Finish(ctx, claim, answer) })
	}
}

// settle writes what became of a claim whose request has no answer. If the table is slow, the write goes on behind.
func (s *Server) settle(c *call, claim *booking.Claim, outcome problem.Outcome) {
	last := func(ctx context.Context) error {
		if outcome == problem.NotRun {
			return s.claims.Release(ctx, claim)
		}
		return s.claims.Doubt(ctx, claim)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.r.Context()), s.limits.Store)
	defer cancel()
	if last(ctx) != nil {
		s.background(c, last)
	}
}

func (s *Server) background(c *call, write func(context.Context) error) {
	s.settling.Add(1)
	go func() {
		defer s.settling.Done()
		ctx, cancel := context.WithTimeout(s.hard, settleWithin)
		defer cancel()
		if err := write(ctx); err != nil {
			c.visit.Log.Warn().Err(err).Msg("a claim's last state could not be written")
		}
	}()
}

func write(w http.ResponseWriter, a booking.Answer) {
	for _, f := range a.Header {
		w.Header().Add(f.Name, f.Value)
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// memory keeps an answer of at most maxStored bytes.
type memory struct {
	header   http.Header
	status   int
	body     bytes.Buffer
	overflow bool
}

// Header returns the answer's header.
func (m *memory) Header() http.Header {
	return m.header
}

// WriteHeader keeps the status.
func (m *memory) WriteHeader(status int) {
	m.status = status
}

// Write keeps a part of the body.
func (m *memory) Write(p []byte) (int, error) {
	if m.body.Len()+len(p) > maxStored {
		m.overflow = true
		return len(p), nil
	}
	return m.body.Write(p)
}

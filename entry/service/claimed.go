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
	"cowslipshunt.example/shared/process"
	"cowslipshunt.example/wire"
)

// maxStoredBytes is the largest answer body that a claim stores. A request with a larger answer fails, and a repeat of it is
// refused with the outcome Unknown.
const maxStoredBytes = 256 << 10

// claimWriteTimeout bounds the background write of a claim's final state, with its retries.
const claimWriteTimeout = 10 * time.Minute

// maxIdempotencyKeyBytes is the longest Idempotency-Key that is accepted.
const maxIdempotencyKeyBytes = 256

// handleClaimed handles a request that needs a claim, which makes sure that the request runs at most once, even if the caller
// repeats it. Once claimed, the request continues even if the caller disconnects, so that a repeat finds its answer.
func (s *Server) handleClaimed(w http.ResponseWriter, c *call) *problem.Problem {
	if len(c.r.Header.Get(caller.HeaderIdempotency)) > maxIdempotencyKeyBytes {
		return problem.New(http.StatusBadRequest, problem.NotRun, "the Idempotency-Key is longer than %d bytes", maxIdempotencyKeyBytes)
	}
	ctx, cancel := context.WithTimeout(c.r.Context(), s.limits.Claim)
	defer cancel()
	claim, err := s.claims.Begin(ctx, c.claimKey(), c.requestDigest())
	if err != nil {
		return s.answerClaimError(w, c, claim, err)
	}
	c.ctx, cancel = context.WithTimeout(context.WithoutCancel(c.ctx), s.limits.Total)
	defer cancel()
	defer endAtStop(c.r.Context(), cancel)()
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

// endAtStop calls end once requests ends because the process stops, but not if the caller leaves. stop ends the wait for that.
func endAtStop(requests context.Context, end func()) (stop func() bool) {
	return context.AfterFunc(requests, func() {
		if errors.Is(context.Cause(requests), process.ErrStopping) {
			end()
		}
	})
}

func (c *call) claimKey() booking.Key {
	return booking.Key{
		Workspace: c.admitted.Workspace.Name,
		Digest:    document.Digest([]byte(c.r.Header.Get(caller.HeaderIdempotency))),
	}
}

// requestDigest returns a digest of the request, by which a different request with the same Idempotency-Key is detected.
func (c *call) requestDigest() wire.Digest {
	var b bytes.Buffer
	for _, part := range []string{c.r.Method, string(c.service), c.path, caller.QueryWithoutKey(c.r.URL.RawQuery, c.admitted.Key), c.r.Header.Get("Content-Type")} {
		b.WriteString(part)
		b.WriteByte(0)
	}
	b.Write(c.body)
	return document.Digest(b.Bytes())
}

// answerClaimError answers a request that could not be claimed and must not run: with the stored answer of an earlier run, or
// with a refusal. If the claim may have been written although its answer was lost, it releases the claim in the background.
func (s *Server) answerClaimError(w http.ResponseWriter, c *call, claim *booking.Claim, err error) *problem.Problem {
	var done *booking.DoneError
	var reused booking.KeyReusedError
	var claimed *booking.ClaimedError
	switch {
	case errors.As(err, &done):
		answersFromStore.Inc()
		writeAnswer(w, done.Answer)
		return nil
	case errors.As(err, &reused):
		return problem.New(http.StatusUnprocessableEntity, problem.NotRun, "%v", reused)
	case errors.As(err, &claimed):
		return problem.New(http.StatusConflict, problem.Unknown, "%v", claimed).After(retryAfter)
	}
	if claim != nil {
		s.writeInBackground(c, func(ctx context.Context) error { return s.claims.Release(ctx, claim) })
	}
	return problem.New(http.StatusServiceUnavailable, problem.Unknown, "the table cannot tell whether the request ran before").After(retryAfter)
}

// fetch returns the complete answer to a claimed request, from an endpoint of this failure domain or through a peer of another
// one. It bills the request before the answer is stored or sent, even if the caller disconnected, as a repeat gets the stored
// answer and is not billed. A peer bills the requests that it ran itself.
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

// fetchLocal returns the answer of an endpoint of this failure domain.
func (s *Server) fetchLocal(c *call) (booking.Answer, *problem.Problem) {
	resp, slot, p := s.send(c)
	if p != nil {
		return booking.Answer{}, p
	}
	defer s.wakeQueue(c)
	defer slot.Release()
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxStoredBytes+1))
	if err != nil || len(body) > maxStoredBytes {
		return booking.Answer{}, problem.New(http.StatusBadGateway, problem.Unknown, "the endpoint's answer was cut or larger than %d bytes", maxStoredBytes)
	}
	return newStoredAnswer(resp.StatusCode, resp.Header, body), nil
}

// fetchForwarded returns the answer of a peer in another failure domain, or a refusal if there is none that can be stored.
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

// forwardComplete forwards a request. It recovers from http.ErrAbortHandler, with which the forwarder reports a truncated
// answer, and returns a refusal instead, so that the claim's final state is written.
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
	return s.forwarder.Forward(w, c.r.WithContext(c.ctx), c.admitted, c.body)
}

// newStoredAnswer returns an answer as it is stored, without hop-by-hop header fields and those of this system.
func newStoredAnswer(status int, header http.Header, body []byte) booking.Answer {
	answer := booking.Answer{Status: status, Header: []wire.HeaderField{}, Body: body}
	for name, values := range caller.ForwardableHeader(header, "") {
		for _, value := range values {
			answer.Header = append(answer.Header, wire.HeaderField{Name: name, Value: value})
		}
	}
	return answer
}

// storeAnswer writes the answer to the table before the caller gets it. If the write fails or takes too long, it continues in
// the background and the caller gets the answer meanwhile.
func (s *Server) storeAnswer(c *call, claim *booking.Claim, answer booking.Answer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.r.Context()), s.limits.Store)
	defer cancel()
	if err := s.claims.Finish(ctx, claim, answer); err != nil {
		c.admitted.Log.Warn().Err(err).Msg("storing the answer of a claimed request failed; retrying in the background")
		s.writeInBackground(c, func(ctx context.Context) error { return s.claims.Finish(ctx, claim, answer) })
	}
}

// settleClaim writes the final state of a claim whose request has no answer: it releases the claim if the request did not run, and
// marks its outcome as unknown otherwise. If the write fails or takes too long, it continues in the background.
func (s *Server) settleClaim(c *call, claim *booking.Claim, outcome problem.Outcome) {
	writeFinal := func(ctx context.Context) error {
		if outcome == problem.NotRun {
			return s.claims.Release(ctx, claim)
		}
		return s.claims.MarkUnknown(ctx, claim)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.r.Context()), s.limits.Store)
	defer cancel()
	if writeFinal(ctx) != nil {
		s.writeInBackground(c, writeFinal)
	}
}

// writeInBackground runs a write of a claim's state for up to claimWriteTimeout, or until forceCtx ends. Wait waits for it.
func (s *Server) writeInBackground(c *call, write func(context.Context) error) {
	s.claimWrites.Add(1)
	go func() {
		defer s.claimWrites.Done()
		ctx, cancel := context.WithTimeout(s.forceCtx, claimWriteTimeout)
		defer cancel()
		if err := write(ctx); err != nil {
			c.admitted.Log.Warn().Err(err).Msg("writing the final state of a claim failed; no further attempt is made")
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

// responseBuffer is an http.ResponseWriter that keeps an answer of at most maxStoredBytes. It discards what exceeds the limit and
// sets overflow.
type responseBuffer struct {
	header   http.Header
	status   int
	body     bytes.Buffer
	overflow bool
}

// Header returns the header of the buffered answer.
func (b *responseBuffer) Header() http.Header {
	return b.header
}

// WriteHeader stores the status.
func (b *responseBuffer) WriteHeader(status int) {
	b.status = status
}

// Write appends p to the body. If the body would exceed maxStoredBytes, it discards p and returns no error.
func (b *responseBuffer) Write(p []byte) (int, error) {
	if b.body.Len()+len(p) > maxStoredBytes {
		b.overflow = true
		return len(p), nil
	}
	return b.body.Write(p)
}

package relay

import (
	"context"
	"errors"
	"time"

	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
)

// Notice is what an endpoint has said about itself in an answer, where it changes what this instance believes.
type Notice struct {
	Endpoint roster.Key
	// Step names the change, such as "EndpointLeaving".
	Step string
	// Source is the kind of the exchange whose answer said so, and Request the request that it belongs to.
	Source  string
	Request wire.RequestId
	// Until is the end of the pause that the endpoint asked for, and Pause its length from now.
	Until time.Time
	Pause time.Duration
	Err   error
}

// The sources of notices.
const (
	sourceRequest = "request"
	sourcePrefill = "prefill"
	sourceFree    = "free"
)

// WithdrawnError is the error of an attempt that was not sent because the endpoint had asked for no more requests after it was chosen.
type WithdrawnError struct {
	Reason string
	// Source is set if it was the endpoint that holds the KV cache, and not the one that was chosen.
	Source bool
}

// Error states why.
func (e *WithdrawnError) Error() string {
	return "the send was withdrawn: " + e.Reason
}

// Permit reports whether the attempt may still be sent to an endpoint. Senders call it once they have a connection, right before the first
// byte, as waiting for a connection takes time. After an error, a *WithdrawnError, nothing must be sent.
//
// A KV cache is fetched from an endpoint that leaves: it was prefilled there for this request before the endpoint said so.
func (a *Attempt) Permit(e *roster.Endpoint, now time.Time) error {
	if e.Leaving() {
		return &WithdrawnError{Reason: "the endpoint leaves"}
	}
	if a.Source != nil {
		if err := a.Source.Permit(now); err != nil {
			return err
		}
	}
	probe, admitted := e.Admit(now)
	if !admitted {
		return &WithdrawnError{Reason: "the endpoint asked for a pause"}
	}
	a.probe = probe
	return nil
}

// Permit reports whether the KV cache may be fetched or freed now. Senders call it right before they write the call that frees it.
func (s *Source) Permit(now time.Time) error {
	if _, paused := s.Endpoint.PauseRequested(now); paused {
		return &WithdrawnError{Reason: "the endpoint that holds the KV cache asked for a pause", Source: true}
	}
	return nil
}

// note records what an endpoint says about itself in the head of an answer. The answer is nil if there was none. One that was misdirected
// comes from another incarnation.
func (r *Relay) note(e *roster.Endpoint, a *Answer, source string, id wire.RequestId) {
	if a == nil || a.Misdirected {
		return
	}
	n := Notice{Endpoint: e.Entry().Key, Source: source, Request: id}
	if a.Leaving && e.MarkLeaving() {
		n.Step = "EndpointLeaving"
		r.observer.EndpointNoticed(n)
	}
	if a.RetryAfterErr != nil && e.MarkRetryAfterMalformed() {
		n.Step, n.Err = "RetryAfterMalformed", a.RetryAfterErr
		r.observer.EndpointNoticed(n)
	}
	if a.RetryAfter <= 0 {
		return
	}
	now := r.clock.Now()
	if until, news := e.MarkPauseRequested(now, a.RetryAfter); news {
		n.Step, n.Until, n.Pause, n.Err = "EndpointPauseRequested", until, until.Sub(now), nil
		r.observer.EndpointNoticed(n)
	}
}

// noteSent records what an endpoint says in the answer to an attempt, and ends the attempt if it is a probe. The answer is nil if there was
// none.
func (r *Relay) noteSent(e *roster.Endpoint, attempt *Attempt, a *Answer, source string) {
	r.note(e, a, source, attempt.Request.ID)
	accepted := a != nil && !a.NotRun && !a.Misdirected && !promisesNotRun(a.Status)
	if attempt.probe.End(accepted) {
		r.observer.EndpointNoticed(Notice{Endpoint: e.Entry().Key, Step: "EndpointPauseEnded", Source: source, Request: attempt.Request.ID})
	}
}

// recordUnsent reports whether an error means that nothing was sent, and records it. An endpoint has failed if it could not be connected
// to, but not if the send was withdrawn.
func (j *job) recordUnsent(ctx context.Context, s *send, err error) bool {
	if err == nil {
		return false
	}
	var withdrawn *WithdrawnError
	if errors.As(err, &withdrawn) {
		j.recordWithdrawal(s, withdrawn)
		return true
	}
	var neverSent *NeverSentError
	if errors.As(err, &neverSent) {
		j.recordFailure(ctx, s.exchange, err)
		return true
	}
	return false
}

// recordWithdrawal records that a send was withdrawn. If the KV cache cannot be fetched, the decode engine prefills the prompt itself: another
// separate prefill would be a retry.
func (j *job) recordWithdrawal(s *send, err *WithdrawnError) {
	s.exchange.end(j.relay.clock.Now(), err)
	// Nothing was sent, so the retry that this send took pays for the next one.
	if s.paid {
		j.payNext(s.exchange.began)
	}
	if err.Source {
		j.source, j.sourceLost = nil, true
		j.observe("Withdrawn", s.exchange, 0, "the KV cache cannot be fetched; the decode engine prefills the prompt", err)
		return
	}
	j.excluded = append(j.excluded, s.endpoint.Entry().ID)
	j.observe("Withdrawn", s.exchange, 0, "the endpoint takes no more requests; this request avoids the endpoint", err)
}

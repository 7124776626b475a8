package relay

import (
	"context"
	"errors"

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
}

// Error states why.
func (e *WithdrawnError) Error() string {
	return "the send was withdrawn: " + e.Reason
}

// Permit reports whether the attempt may still be sent to an endpoint. Senders call it once they have a connection, right before the first
// byte, as waiting for a connection takes time. After an error, a *WithdrawnError, nothing must be sent.
//
// A KV cache is fetched from an endpoint that leaves: it was prefilled there for this request before the endpoint said so.
func (a *Attempt) Permit(e *roster.Endpoint) error {
	if e.Leaving() {
		return &WithdrawnError{Reason: "the endpoint leaves"}
	}
	return nil
}

// note records what an endpoint says about itself in the head of an answer. The answer is nil if there was none. One that was misdirected
// comes from another incarnation.
func (r *Relay) note(e *roster.Endpoint, a *Answer, source string, id wire.RequestId) {
	if a == nil || a.Misdirected {
		return
	}
	if a.Leaving && e.MarkLeaving() {
		r.observer.EndpointNoticed(Notice{Endpoint: e.Entry().Key, Step: "EndpointLeaving", Source: source, Request: id})
	}
}

// recordUnsent reports whether an error means that nothing was sent, and records it. An endpoint has failed if it could not be connected
// to, but not if the send was withdrawn.
func (j *job) recordUnsent(ctx context.Context, e *roster.Endpoint, err error) bool {
	if err == nil {
		return false
	}
	var withdrawn *WithdrawnError
	if errors.As(err, &withdrawn) {
		j.exchange.end(j.relay.clock.Now(), err)
		j.excluded = append(j.excluded, e.Entry().ID)
		j.observe("Withdrawn", e, 0, "the endpoint takes no more requests; this request avoids the endpoint", err)
		return true
	}
	var neverSent *NeverSentError
	if errors.As(err, &neverSent) {
		j.recordFailure(ctx, e, err)
		return true
	}
	return false
}

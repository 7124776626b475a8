// Package relay decides how a request is run: on which endpoint, how often, and what its caller is told.
package relay

import (
	"context"
	"time"

	"cowslipshunt.example/serving/placement"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
)

// Header holds header fields as net/http does.
type Header = map[string][]string

// Request is one attempt of a client, as it came.
type Request struct {
	ID      wire.RequestId
	Arrived time.Time
	Method  string
	// Target is the request's path and query as the client wrote them, Path the part that routes go by.
	Target string
	Path   string
	Host   string
	// Header is what is passed on to the endpoint.
	Header Header
	Body   []byte
	// Key is the client's key, or empty.
	Key string
	// Patience is how long the client waits; 0 is not known.
	Patience time.Duration
	// LastEvent is the id of the event after which the client wants a stream to go on, or empty.
	LastEvent string
	Prompt    placement.Prompt
}

// Attempt is one send of a request to an endpoint.
type Attempt struct {
	Request   *Request
	Workspace wire.WorkspaceName
	// Deadline is when the endpoint has to stop work.
	Deadline time.Time
	// Rank is the urgency, 0 to 9; 0 is first.
	Rank int
	// PrefillOnly asks the endpoint to read the prompt and keep its KV cache for another.
	PrefillOnly bool
	// Source is the KV cache that the endpoint fetches, or nil.
	Source *Source
	// LastEvent is the id of the event after which the stream goes on.
	LastEvent string
}

// Source is a prefilled KV cache at an endpoint.
type Source struct {
	Endpoint *roster.Endpoint
	Handle   string
}

// Answer is the head of an endpoint's answer. Close must be called.
type Answer struct {
	Status int
	Header Header
	// NotRun tells that the endpoint said that it did not run the request.
	NotRun bool
	// Misdirected tells that another incarnation has the address.
	Misdirected bool
	Body        Body
}

// Success tells whether the status is one of success.
func (a *Answer) Success() bool {
	return a.Status/100 == 2
}

// Body is the body of an answer.
type Body interface {
	// Next returns the next whole event of a stream and its id, or io.EOF after a complete answer.
	Next() (event []byte, id string, err error)
	// All returns the whole body of an answer that is no stream.
	All() ([]byte, error)
	// Close ends the exchange; what is not read is cut off.
	Close()
}

// Sender sends requests to endpoints. An error of Send means that no answer of this request was had.
type Sender interface {
	Send(ctx context.Context, e *roster.Endpoint, a *Attempt) (*Answer, error)
	// Prefilled reads the handle of the KV cache out of an answer to a prefill.
	Prefilled(a *Answer) (handle string, err error)
	// Free gives up a KV cache that nobody takes.
	Free(s *Source)
}

// NeverSentError is an attempt of which no byte was sent.
type NeverSentError struct {
	Err error
}

// Error returns the cause.
func (e *NeverSentError) Error() string {
	return "not sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *NeverSentError) Unwrap() error {
	return e.Err
}

// Caller takes the answer to a request. Exactly one of Answer, Refuse and Begin is called; after Begin come events and then
// End or Abort.
type Caller interface {
	// Answer passes a whole answer of an endpoint on.
	Answer(status int, h Header, body []byte)
	// Begin starts a stream.
	Begin(status int, h Header)
	// Event passes one event on.
	Event(event []byte) error
	// End completes a stream.
	End()
	// Abort ends a stream so that it cannot be taken for a complete one.
	Abort()
	// Refuse tells that the request has no answer of an endpoint.
	Refuse(r Refusal)
}

// Verdict is what a refusal promises.
type Verdict int

// The verdicts.
const (
	// NotRun promises that the request has not run and never will.
	NotRun Verdict = iota
	// Unknown promises nothing: the request may have run.
	Unknown
	// Expired is Unknown for a request whose time is over.
	Expired
	// NoKey is for a key that no workspace holds.
	NoKey
	// NoRoute is for a request that no route matches.
	NoRoute
	// Malformed is for a request that cannot be passed on.
	Malformed
)

// String names the verdict for logs.
func (v Verdict) String() string {
	return [...]string{"NotRun", "Unknown", "Expired", "NoKey", "NoRoute", "Malformed"}[v]
}

// Refusal is an answer that is not an endpoint's.
type Refusal struct {
	Verdict Verdict
	Reason  string
	// RetryAfter is when the client should come back; 0 says nothing.
	RetryAfter time.Duration
}

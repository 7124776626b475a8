// Package relay decides how a request is run: on which endpoint, how often it is sent, and which answer its caller gets.
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

// Request is one request as it was received from a client. A client's retry is another Request.
type Request struct {
	ID      wire.RequestId
	Arrived time.Time
	Method  string
	// Target is the request's path and query as the client wrote them, Path the path alone, which routes are matched against.
	Target string
	Path   string
	Host   string
	// Header holds the fields that are passed on to the endpoint.
	Header Header
	Body   []byte
	// Key is the client's API key, or empty.
	Key string
	// ClientTimeout is how long the client waits for an answer; 0 if unknown.
	ClientTimeout time.Duration
	// LastEvent is the id of the event after which the client resumes a stream, or empty.
	LastEvent string
	Prompt    placement.Prompt
}

// Attempt is one send of a request to an endpoint.
type Attempt struct {
	Request   *Request
	Workspace wire.WorkspaceName
	// Deadline is when the endpoint must stop working on the request.
	Deadline time.Time
	// Rank is the urgency, from 0 to 9; 0 is the most urgent.
	Rank int
	// PrefillOnly asks the endpoint to prefill the prompt and hold its KV cache until another endpoint fetches it.
	PrefillOnly bool
	// Source is where the endpoint fetches the prompt's KV cache, or nil if it prefills the prompt itself.
	Source *Source
	// LastEvent is the id of the event after which the stream is resumed, or empty for a stream from its start.
	LastEvent string

	// probe is set by Permit if the attempt is the first after a pause that the endpoint asked for.
	probe roster.Probe
}

// Source is a prefilled KV cache that an endpoint holds for another.
type Source struct {
	Endpoint *roster.Endpoint
	// Handle identifies the KV cache at the endpoint.
	Handle string
}

// Answer is an endpoint's answer. Its body must be closed.
type Answer struct {
	Status int
	Header Header
	// NotRun is set if the endpoint stated that it did not run the request.
	NotRun bool
	// Misdirected is set if another incarnation now has the endpoint's address; it did not run the request.
	Misdirected bool
	// Leaving is set if the endpoint stated that it leaves and wants no new requests.
	Leaving bool
	// RetryAfter is for how long the endpoint wants no requests from this instance, if it rejected the request and said so.
	RetryAfter time.Duration
	// RetryAfterErr is set if it said so in a form that has no meaning or one that was bounded.
	RetryAfterErr error
	// EventStream is set if the endpoint says that the body is a stream of events.
	EventStream bool
	Body        Body
}

// Success reports whether the status is 2xx.
func (a *Answer) Success() bool {
	return a.Status/100 == 2
}

// Body is the body of an answer. A caller uses either Next or All.
type Body interface {
	// Next returns the next complete event of a stream, or io.EOF at the end of a complete stream.
	Next() (Event, error)
	// All returns the complete body of an answer that is not a stream.
	All() ([]byte, error)
	// Close ends the exchange with the endpoint, also if the body has not been read to its end.
	Close()
}

// Event is a server-sent event.
type Event struct {
	// Bytes are the event as it was received, with its closing blank line.
	Bytes []byte
	// ID is empty if the event has no id.
	ID string
	// HasData is set if the event has data or an id. Other events, such as comments, are no progress of a stream.
	HasData bool
}

// Sender sends requests to endpoints.
type Sender interface {
	// Send sends an attempt and returns the answer once its head is received. A NeverSentError means that the endpoint cannot
	// have run the request, nor can it after the WithdrawnError of Attempt.Permit, which Send calls right before the first byte; after any
	// other error it may have.
	Send(ctx context.Context, e *roster.Endpoint, a *Attempt) (*Answer, error)
	// Prefilled returns the handle of the KV cache from the answer to a prefill.
	Prefilled(a *Answer) (handle string, err error)
	// Free makes an endpoint drop a KV cache that no other endpoint will fetch. The function is called, possibly later, with the head of
	// the endpoint's answer if there is one.
	Free(s *Source, answered func(a *Answer))
}

// NeverSentError is the error of an attempt of which no byte was sent, such as a failed dial.
type NeverSentError struct {
	Err error
}

// Error returns the message with that of the cause.
func (e *NeverSentError) Error() string {
	return "no byte of the request was sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *NeverSentError) Unwrap() error {
	return e.Err
}

// Caller receives the answer to a request. Exactly one of Answer, Refuse and Begin is called. Begin is followed by any number of
// calls of Event and then by one of End or Abort.
type Caller interface {
	// Answer writes an endpoint's complete answer.
	Answer(status int, h Header, body []byte)
	// Begin writes the head of a stream.
	Begin(status int, h Header)
	// Event writes one event of a stream. After an error, only Abort may be called.
	Event(event []byte) error
	// End completes a stream.
	End()
	// Abort ends a stream so that the client cannot mistake it for a complete one.
	Abort()
	// Refuse writes a refusal in place of an endpoint's answer.
	Refuse(r Refusal)
}

// Verdict is the kind of a refusal; it states whether the request can have run.
type Verdict int

// The verdicts.
const (
	// NotRun promises that the request has not run and never will.
	NotRun Verdict = iota
	// Unknown promises nothing: the request may have run.
	Unknown
	// Expired promises nothing either; the request's deadline has passed.
	Expired
	// NoKey means that the route requires a key and no workspace holds the given one.
	NoKey
	// NoRoute means that no route matches the request.
	NoRoute
	// Malformed means that the request cannot be passed on to an endpoint.
	Malformed
	// TooLarge means that the request's body exceeds the limit of the configuration.
	TooLarge
	// OverQuota is like NotRun, for a request that exceeds the quota of its workspace.
	OverQuota
)

// String returns the verdict's name, which is logged and sent to clients.
func (v Verdict) String() string {
	return [...]string{"NotRun", "Unknown", "Expired", "NoKey", "NoRoute", "Malformed", "TooLarge", "OverQuota"}[v]
}

// Refusal is the relay's own answer to a request, in place of an endpoint's.
type Refusal struct {
	Verdict Verdict
	// Reason is logged and sent to the client.
	Reason string
	// RetryAfter is how long the client should wait before it retries; 0 states no time.
	RetryAfter time.Duration
}

package answer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"

	"cowslipshunt.example/shared/caller"
	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/shared/link"
	"cowslipshunt.example/shared/problem"
	"cowslipshunt.example/wire"
	"github.com/tmaxmax/go-sse"
)

// attemptError is the failure of an attempt.
type attemptError struct {
	// NotRun reports whether the engine certainly ran nothing.
	NotRun bool
	// Refusal is set if the engine rejected the request itself. It is final, as other engines would reject the request too.
	Refusal *problem.Problem
	// CallerGone reports whether writing to the caller failed.
	CallerGone bool
	Err        error
}

// Error returns the text of the cause.
func (e *attemptError) Error() string {
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *attemptError) Unwrap() error {
	return e.Err
}

// errStalled is the cause of an attempt that was given up for another one, as its engine was silent.
var errStalled = errors.New("engine sent no event within the stall limit")

// attempt is one send of the request to an engine, until its answer was passed on or given up.
type attempt struct {
	number  int
	request wire.RequestId
	slot    *endpoint.Slot
	cancel  context.CancelFunc
	// ended is closed once nothing is received from the engine any more.
	ended chan struct{}
	// silent is set if the engine has sent nothing within the stall limit, until it goes on.
	silent bool
}

// message is what an attempt has received: the head of the answer, an event, or the error that ended the attempt.
type message struct {
	from  *attempt
	head  bool
	event sse.Event
	err   *attemptError
}

// run sends r, and passes on what the engine answers until the answer ends or ctx does. err is the error of building r.
func (a *attempt) run(ctx context.Context, transport http.RoundTripper, r *http.Request, err error, messages chan<- message) {
	defer close(a.ended)
	last := message{err: &attemptError{NotRun: true, Err: err}}
	if err == nil {
		last = a.receive(ctx, transport, r, messages)
	}
	a.pass(ctx, messages, last)
}

// pass passes on a message and reports whether the attempt may go on.
func (a *attempt) pass(ctx context.Context, messages chan<- message, m message) bool {
	m.from = a
	select {
	case messages <- m:
		return true
	case <-ctx.Done():
		return false
	}
}

// receive sends r, passes on the head and the events of the answer, and returns the last message: the event that ends the stream, or
// an error. A panic is such an error, as nothing else would keep it from ending the process.
func (a *attempt) receive(ctx context.Context, transport http.RoundTripper, r *http.Request, messages chan<- message) (last message) {
	defer func() {
		if value := recover(); value != nil {
			last = message{err: &attemptError{Err: fmt.Errorf("panic: %v\n%s", value, debug.Stack())}}
		}
	}()
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return message{err: &attemptError{NotRun: caller.NeverSent(err), Err: err}}
	}
	defer resp.Body.Close()
	if attemptErr := a.checkResponse(resp); attemptErr != nil {
		return message{err: attemptErr}
	}
	more := a.pass(ctx, messages, message{head: true})
	for event, err := range sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return message{err: &attemptError{Err: err}}
		}
		if event.Data == dataDone {
			return message{event: event}
		}
		if more = more && a.pass(ctx, messages, message{event: event}); !more {
			return message{err: &attemptError{Err: context.Cause(ctx)}}
		}
	}
	return message{err: &attemptError{Err: io.ErrUnexpectedEOF}}
}

// close ends the attempt and returns once nothing is received from the engine any more.
func (a *attempt) close() {
	a.cancel()
	<-a.ended
}

// newRequest returns the request for an attempt, whose answer goes on after the tokens that were delivered.
func (x *exchange) newRequest(ctx context.Context, a *attempt) (*http.Request, error) {
	data, err := x.request.encode(x.delivered)
	if err != nil {
		return nil, err
	}
	path := "/v1/completions"
	if x.request.chat {
		path = "/v1/chat/completions"
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.slot.State().Address+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	r.Header = x.header.Clone()
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Accept", "text/event-stream")
	r.Header.Set(caller.HeaderRequest, string(x.requestID))
	r.Header.Set(caller.HeaderAttempt, strconv.Itoa(a.number))
	r.Header.Set(caller.HeaderWorkspace, string(x.workspace))
	return r, nil
}

// checkResponse checks the header of an engine's response. It returns nil if the response has status 200 and belongs to this
// attempt. A response that does not name this attempt proves nothing about it: it may be a repetition of one to another request.
func (a *attempt) checkResponse(resp *http.Response) *attemptError {
	h := resp.Header
	if h.Get(caller.HeaderRequest) != string(a.request) || h.Get(caller.HeaderAttempt) != strconv.Itoa(a.number) {
		return &attemptError{Err: fmt.Errorf("response with status %d is for request %q attempt %q, not for attempt %d of this request", resp.StatusCode, h.Get(caller.HeaderRequest), h.Get(caller.HeaderAttempt), a.number)}
	}
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	if err := link.CheckStatus(resp.StatusCode); err != nil {
		return &attemptError{Err: err}
	}
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	err := fmt.Errorf("engine answered with status %d: %s", resp.StatusCode, bytes.TrimSpace(text))
	switch {
	case h.Get(caller.HeaderOutcome) == string(problem.NotRun), resp.StatusCode == http.StatusNotFound:
		return &attemptError{NotRun: true, Err: err}
	case resp.StatusCode == http.StatusBadRequest, resp.StatusCode == http.StatusUnprocessableEntity:
		refusal := problem.New(resp.StatusCode, problem.NotRun, "the engine refused the request: %s", engineErrorMessage(text))
		return &attemptError{NotRun: true, Refusal: refusal, Err: err}
	}
	return &attemptError{Err: err}
}

// engineErrorMessage returns the message of an engine's error in the OpenAI format, or the text itself if it has another format.
func engineErrorMessage(text []byte) string {
	var e struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(text, &e) == nil && e.Error.Message != "" {
		return e.Error.Message
	}
	return strings.TrimSpace(string(text))
}

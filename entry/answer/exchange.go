package answer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cowslipshunt.example/shared/caller"
	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/shared/problem"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
	"github.com/tmaxmax/go-sse"
)

// Bounds of an engine's answer.
const (
	maxEventBytes = 1 << 20
	maxRefusal    = 4 << 10
	maxTokens     = 1 << 20
)

// Ids of an answer's last events.
const (
	idEnd   = "end"
	idUsage = "usage"
	done    = "[DONE]"
)

// exchange is one request's way to its whole answer, over as many attempts as it takes.
type exchange struct {
	request   wire.RequestId
	workspace wire.WorkspaceName
	query     *request
	header    http.Header
	sink      sink
	prompt    endpoint.Prompt

	// queued is the time in queues, and placement why the newest engine was chosen.
	queued    time.Duration
	placement endpoint.Reason
	// firstAt is when the first engine sent its first event.
	firstAt time.Time

	attempt   int
	delivered []string
	usage     tokens
	finished  bool
	// reached tells that an engine may have got some of the request.
	reached bool
}

// attemptError says how an attempt ended.
type attemptError struct {
	// NotRun tells that the engine ran nothing.
	NotRun bool
	// Refusal is an engine's final word on the request itself; another engine would say the same.
	Refusal *problem.Problem
	// Caller tells that the caller is the one who failed.
	Caller bool
	Err    error
}

// Error returns the cause's text.
func (e *attemptError) Error() string {
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *attemptError) Unwrap() error {
	return e.Err
}

var errStalled = errors.New("the engine sent nothing in time")

// try sends the request to one engine and passes its tokens on. It returns nil once the answer is whole.
func (x *exchange) try(ctx context.Context, transport http.RoundTripper, slot *endpoint.Slot, clock clockwork.Clock, stall time.Duration) *attemptError {
	x.attempt++
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := clock.AfterFunc(stall, func() { cancel(errStalled) })
	defer watchdog.Stop()
	answer, failed := x.send(ctx, transport, slot.Endpoint)
	if failed != nil {
		return failed
	}
	defer answer.Body.Close()
	for event, err := range sse.Read(answer.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return &attemptError{Err: errors.Join(err, context.Cause(ctx))}
		}
		watchdog.Reset(stall)
		x.noteStart(slot, clock.Now())
		last, failed := x.take(event)
		if failed != nil || last {
			return failed
		}
	}
	return &attemptError{Err: errors.Join(io.ErrUnexpectedEOF, context.Cause(ctx))}
}

func (x *exchange) send(ctx context.Context, transport http.RoundTripper, e *endpoint.Endpoint) (*http.Response, *attemptError) {
	data, err := x.query.encode(x.delivered)
	if err != nil {
		return nil, &attemptError{NotRun: true, Err: err}
	}
	path := "/v1/completions"
	if x.query.chat {
		path = "/v1/chat/completions"
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.State().Address+path, bytes.NewReader(data))
	if err != nil {
		return nil, &attemptError{NotRun: true, Err: err}
	}
	r.Header = x.header.Clone()
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Accept", "text/event-stream")
	r.Header.Set(caller.HeaderRequest, string(x.request))
	r.Header.Set(caller.HeaderAttempt, strconv.Itoa(x.attempt))
	r.Header.Set(caller.HeaderWorkspace, string(x.workspace))
	answer, err := transport.RoundTrip(r)
	if err != nil {
		notRun := caller.NeverSent(err)
		x.reached = x.reached || !notRun
		return nil, &attemptError{NotRun: notRun, Err: errors.Join(err, context.Cause(ctx))}
	}
	if failed := x.judge(answer); failed != nil {
		answer.Body.Close()
		return nil, failed
	}
	x.reached = true
	return answer, nil
}

// judge looks at an answer's head: is it to this attempt, and is it an answer at all?
func (x *exchange) judge(answer *http.Response) *attemptError {
	h := answer.Header
	if answer.StatusCode == http.StatusOK {
		if h.Get(caller.HeaderRequest) != string(x.request) || h.Get(caller.HeaderAttempt) != strconv.Itoa(x.attempt) {
			x.reached = true
			return &attemptError{Err: fmt.Errorf("a crossed answer: it is to request %q", h.Get(caller.HeaderRequest))}
		}
		return nil
	}
	text, _ := io.ReadAll(io.LimitReader(answer.Body, maxRefusal))
	err := fmt.Errorf("the engine refused with status %d: %s", answer.StatusCode, bytes.TrimSpace(text))
	switch {
	case h.Get(caller.HeaderOutcome) == string(problem.NotRun), answer.StatusCode == http.StatusNotFound:
		return &attemptError{NotRun: true, Err: err}
	case answer.StatusCode == http.StatusBadRequest, answer.StatusCode == http.StatusUnprocessableEntity:
		refusal := problem.New(answer.StatusCode, problem.NotRun, "the engine refused the request: %s", engineText(text))
		return &attemptError{NotRun: true, Refusal: refusal, Err: err}
	}
	x.reached = true
	return &attemptError{Err: err}
}

// engineText returns the message of an engine's error in the OpenAI shape, or the text as it is.
func engineText(text []byte) string {
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

// take passes one event on and tells whether it was the last of a whole answer.
func (x *exchange) take(event sse.Event) (bool, *attemptError) {
	if event.Data == done {
		if !x.finished || x.usage.Total == 0 {
			return false, &attemptError{Err: errors.New("the answer ended before it was finished")}
		}
		return true, nil
	}
	place, found := strings.CutPrefix(event.LastEventID, fmt.Sprintf("%s/%d/", x.request, x.attempt))
	if !found {
		return false, &attemptError{Err: fmt.Errorf("a crossed event %q", event.LastEventID)}
	}
	var c chunk
	if err := json.Unmarshal([]byte(event.Data), &c); err != nil {
		return false, &attemptError{Err: fmt.Errorf("event %s: %w", event.LastEventID, err)}
	}
	if c.Usage != nil {
		x.usage = *c.Usage
	}
	switch place {
	case idUsage:
		return false, x.checkUsage()
	case idEnd:
		x.finished = true
		return false, x.pass(&c)
	}
	return false, x.takeToken(place, &c)
}

// takeToken passes a token on if it is the next one. One that was delivered before is dropped; a gap ends the attempt.
func (x *exchange) takeToken(place string, c *chunk) *attemptError {
	n, err := strconv.Atoi(place)
	if err != nil {
		return &attemptError{Err: fmt.Errorf("event index %q: %w", place, err)}
	}
	if n < len(x.delivered) {
		return nil
	}
	if n > len(x.delivered) || n >= maxTokens {
		return &attemptError{Err: fmt.Errorf("token %d came after %d tokens", n, len(x.delivered))}
	}
	if failed := x.pass(c); failed != nil {
		return failed
	}
	x.delivered = append(x.delivered, c.text())
	return nil
}

func (x *exchange) pass(c *chunk) *attemptError {
	if err := x.sink.token(c); err != nil {
		return &attemptError{Caller: true, Err: err}
	}
	return nil
}

func (x *exchange) checkUsage() *attemptError {
	if int(x.usage.Completion) != len(x.delivered) {
		return &attemptError{Err: fmt.Errorf("the engine counted %d tokens, %d were delivered", x.usage.Completion, len(x.delivered))}
	}
	return nil
}

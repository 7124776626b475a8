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

// Limits for an engine's response.
const (
	maxEventBytes = 1 << 20
	maxErrorBytes = 4 << 10
	maxTokens     = 1 << 20
)

// Suffixes of the ids of the events with the finish reason and the usage, and the data of the event that ends the stream.
const (
	eventEnd   = "end"
	eventUsage = "usage"
	dataDone   = "[DONE]"
)

// exchange is the state of one request and its answer, over all attempts.
type exchange struct {
	requestID wire.RequestId
	workspace wire.WorkspaceName
	request   *modelRequest
	header    http.Header
	sink      sink
	prompt    endpoint.Prompt

	// queueTime is the total time in queues.
	queueTime time.Duration
	// placement is why the engine of the latest attempt was chosen.
	placement endpoint.Reason
	// firstEventAt is when an engine sent the first event of the answer.
	firstEventAt time.Time

	// attempt is the number of the latest attempt, from 1.
	attempt int
	// delivered holds the tokens passed to sink, in order.
	delivered []string
	usage     tokenUsage
	// finished reports whether the event with the finish reason was passed to sink.
	finished bool
	// mayHaveRun reports whether an engine may have received part of the request.
	mayHaveRun bool
}

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

var errStalled = errors.New("engine sent no event within the stall limit")

// runAttempt sends the request to the slot's engine and passes its tokens to the caller. It returns nil once the answer is
// complete. If the engine sends no event for the duration stall, the attempt is cancelled.
func (x *exchange) runAttempt(ctx context.Context, transport http.RoundTripper, slot *endpoint.Slot, clock clockwork.Clock, stall time.Duration) *attemptError {
	x.attempt++
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := clock.AfterFunc(stall, func() { cancel(errStalled) })
	defer watchdog.Stop()
	resp, attemptErr := x.send(ctx, transport, slot.Endpoint)
	if attemptErr != nil {
		return attemptErr
	}
	defer resp.Body.Close()
	for event, err := range sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return &attemptError{Err: errors.Join(err, context.Cause(ctx))}
		}
		watchdog.Reset(stall)
		x.recordEvent(slot, clock.Now())
		final, attemptErr := x.handleEvent(event)
		if attemptErr != nil || final {
			return attemptErr
		}
	}
	return &attemptError{Err: errors.Join(io.ErrUnexpectedEOF, context.Cause(ctx))}
}

// send sends the request to an engine and returns its response once the header has been checked.
func (x *exchange) send(ctx context.Context, transport http.RoundTripper, e *endpoint.Endpoint) (*http.Response, *attemptError) {
	data, err := x.request.encode(x.delivered)
	if err != nil {
		return nil, &attemptError{NotRun: true, Err: err}
	}
	path := "/v1/completions"
	if x.request.chat {
		path = "/v1/chat/completions"
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.State().Address+path, bytes.NewReader(data))
	if err != nil {
		return nil, &attemptError{NotRun: true, Err: err}
	}
	r.Header = x.header.Clone()
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Accept", "text/event-stream")
	r.Header.Set(caller.HeaderRequest, string(x.requestID))
	r.Header.Set(caller.HeaderAttempt, strconv.Itoa(x.attempt))
	r.Header.Set(caller.HeaderWorkspace, string(x.workspace))
	resp, err := transport.RoundTrip(r)
	if err != nil {
		notRun := caller.NeverSent(err)
		x.mayHaveRun = x.mayHaveRun || !notRun
		return nil, &attemptError{NotRun: notRun, Err: errors.Join(err, context.Cause(ctx))}
	}
	if attemptErr := x.checkResponse(resp); attemptErr != nil {
		resp.Body.Close()
		return nil, attemptErr
	}
	x.mayHaveRun = true
	return resp, nil
}

// checkResponse checks the header of an engine's response. It returns nil if the response has status 200 and belongs to this
// attempt. A response that does not name this attempt proves nothing about it: it may be a repetition of one to another request.
func (x *exchange) checkResponse(resp *http.Response) *attemptError {
	h := resp.Header
	if h.Get(caller.HeaderRequest) != string(x.requestID) || h.Get(caller.HeaderAttempt) != strconv.Itoa(x.attempt) {
		x.mayHaveRun = true
		return &attemptError{Err: fmt.Errorf("response with status %d is for request %q attempt %q, not for attempt %d of this request", resp.StatusCode, h.Get(caller.HeaderRequest), h.Get(caller.HeaderAttempt), x.attempt)}
	}
	if resp.StatusCode == http.StatusOK {
		return nil
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
	x.mayHaveRun = true
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

// handleEvent passes the tokens of an event to the caller and reports whether the event completed the answer.
func (x *exchange) handleEvent(event sse.Event) (bool, *attemptError) {
	if event.Data == dataDone {
		if !x.finished || x.usage.Total == 0 {
			return false, &attemptError{Err: errors.New("stream ended without a finish reason or usage")}
		}
		return true, nil
	}
	suffix, found := strings.CutPrefix(event.LastEventID, fmt.Sprintf("%s/%d/", x.requestID, x.attempt))
	if !found {
		return false, &attemptError{Err: fmt.Errorf("event id %q does not belong to attempt %d of this request", event.LastEventID, x.attempt)}
	}
	var c chunk
	if err := json.Unmarshal([]byte(event.Data), &c); err != nil {
		return false, &attemptError{Err: fmt.Errorf("decode event %s: %w", event.LastEventID, err)}
	}
	if c.Usage != nil {
		x.usage = *c.Usage
	}
	switch suffix {
	case eventUsage:
		return false, x.checkUsage()
	case eventEnd:
		x.finished = true
		return false, x.deliver(&c)
	}
	return false, x.handleToken(suffix, &c)
}

// handleToken passes a token to the caller if it is the next one. It drops a token that was delivered before. A gap in the
// sequence fails the attempt.
func (x *exchange) handleToken(suffix string, c *chunk) *attemptError {
	n, err := strconv.Atoi(suffix)
	if err != nil {
		return &attemptError{Err: fmt.Errorf("parse event index %q: %w", suffix, err)}
	}
	if n < len(x.delivered) {
		return nil
	}
	if n > len(x.delivered) || n >= maxTokens {
		return &attemptError{Err: fmt.Errorf("engine sent token %d after %d delivered tokens", n, len(x.delivered))}
	}
	if attemptErr := x.deliver(c); attemptErr != nil {
		return attemptErr
	}
	x.delivered = append(x.delivered, c.text())
	return nil
}

func (x *exchange) deliver(c *chunk) *attemptError {
	if err := x.sink.deliver(c); err != nil {
		return &attemptError{CallerGone: true, Err: err}
	}
	return nil
}

// checkUsage fails the attempt if the engine's count of output tokens differs from the number delivered.
func (x *exchange) checkUsage() *attemptError {
	if int(x.usage.Completion) != len(x.delivered) {
		return &attemptError{Err: fmt.Errorf("engine counted %d output tokens, but %d were delivered", x.usage.Completion, len(x.delivered))}
	}
	return nil
}

package answer

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/wire"
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
	// failed lists the engines at which an attempt failed.
	failed []wire.EndpointId
	// delivered holds the tokens passed to sink, in order.
	delivered []string
	usage     tokenUsage
	// finished reports whether the event with the finish reason was passed to sink.
	finished bool
	// mayHaveRun reports whether an engine may have received part of the request.
	mayHaveRun bool
}

// handleEvent passes the tokens of an event of the attempt with the given number to the caller and reports whether the event
// completed the answer.
func (x *exchange) handleEvent(attempt int, event sse.Event) (bool, *attemptError) {
	if event.Data == dataDone {
		if !x.finished || x.usage.Total == 0 {
			return false, &attemptError{Err: errors.New("stream ended without a finish reason or usage")}
		}
		return true, nil
	}
	suffix, found := strings.CutPrefix(event.LastEventID, fmt.Sprintf("%s/%d/", x.requestID, attempt))
	if !found {
		return false, &attemptError{Err: fmt.Errorf("event id %q does not belong to attempt %d of this request", event.LastEventID, attempt)}
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

package relay

import (
	"context"
	"errors"
	"time"

	"cowslipshunt.example/serving/roster"
)

// ErrStopping is the cause of the context of a request that the instance ends because it has to stop.
var ErrStopping = errors.New("the instance stops")

// exchange is one send of a request to an endpoint, or a prefill for it, as the log needs it.
type exchange struct {
	endpoint *roster.Endpoint
	began    time.Time
	// queued is how many tokens were queued for prefill at the endpoint before, unread how many this request added.
	queued, unread int
	// ended is when the endpoint rejected the request or failed; zero while it holds the request.
	ended time.Time
	// status is that of the endpoint's answer, 0 if none arrived.
	status int
	// events counts the events of a stream that had data; firstEvent is when the first of them arrived.
	events     int
	firstEvent time.Time
	// err is how the exchange failed, nil if it did not.
	err error
}

// end records that the endpoint no longer holds the request. The error is nil if the endpoint rejected it.
func (x *exchange) end(now time.Time, err error) {
	x.ended, x.err = now, err
}

// countEvent records that an event with data has arrived.
func (x *exchange) countEvent(now time.Time) {
	if x.events == 0 {
		x.firstEvent = now
	}
	x.events++
}

// justBegun reports whether the endpoint has sent no more than the first event, or has sent that no longer ago than a period.
func (x *exchange) justBegun(now time.Time, period time.Duration) bool {
	return x.events <= 1 || now.Sub(x.firstEvent) <= period
}

// held returns for how long the endpoint had the request.
func (x *exchange) held(now time.Time) time.Duration {
	if x.ended.IsZero() {
		return now.Sub(x.began)
	}
	return x.ended.Sub(x.began)
}

// endReason returns why the context of a request ended, in words that are logged and sent to the client.
func endReason(ctx context.Context) string {
	switch {
	case errors.Is(context.Cause(ctx), ErrStopping):
		return ErrStopping.Error()
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return "the deadline passed"
	default:
		return "the client disconnected"
	}
}

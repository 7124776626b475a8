package relay_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/wire"
	"pgregory.net/rapid"
)

// mayRetryBooking reports whether a client sends a booking again after an answer: only a refusal that says that it has not run.
func mayRetryBooking(c *fakeCaller) bool {
	return c.refusal != nil && c.refusal.Verdict == relay.NotRun
}

// TestBookingOfReturningClientRunsOnce lets a client send a booking again, under a new id and through any instance, after each refusal
// that says that it has not run. Endpoints lose answers, fall silent, reject and fail at random, and the client may leave or the instance
// stop at any moment. All attempts together must run the booking once at most, and a client that got an answer must find that it ran.
func TestBookingOfReturningClientRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		next := func(*relay.Attempt) behaviour {
			return behaviour(rapid.IntRange(0, int(behaviourCount)-1).Draw(t, "behaviour"))
		}
		instances := []*harness{newHarness(next), newHarness(next)}
		runs := func() int { return instances[0].sender.runs + instances[1].sender.runs }
		var c *fakeCaller
		for attempt := range rapid.IntRange(1, 4).Draw(t, "attempts") {
			h := instances[rapid.IntRange(0, 1).Draw(t, "instance")]
			ctx, cancel := context.WithCancelCause(t.Context())
			if cause := rapid.SampledFrom([]error{nil, context.Canceled, relay.ErrStopping}).Draw(t, "end"); cause != nil {
				time.AfterFunc(time.Duration(rapid.IntRange(0, 20).Draw(t, "after"))*time.Millisecond, func() { cancel(cause) })
			}
			id := wire.RequestId(fmt.Sprint("r", attempt))
			c = h.serve(ctx, &relay.Request{ID: id, Arrived: time.Now(), Method: "POST", Path: "/once/", Host: "h"})
			cancel(nil)
			if n := runs(); n > 1 {
				t.Fatalf("the booking ran %d times", n)
			}
			if !mayRetryBooking(c) {
				break
			}
		}
		if mayRetryBooking(c) && runs() > 0 {
			t.Fatal("the client was told that the booking has not run, but it has")
		}
		if c.status == 200 && runs() != 1 {
			t.Fatalf("the client got an answer to a booking that ran %d times", runs())
		}
	})
}

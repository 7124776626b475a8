package relay_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"cowslipshunt.example/serving/relay"
)

// TestEndOfRequestNamesEndpointAndCause ends requests while an endpoint holds them, or after it has answered, and checks the last
// decision: it has to name the request, the endpoint, for how long the endpoint had the request, and exactly one cause.
func TestEndOfRequestNamesEndpointAndCause(t *testing.T) {
	const disconnected, expired, stopping = "the client disconnected", "the deadline passed", "the instance stops"
	noEnd := func(context.Context, context.CancelCauseFunc) {}
	cancelAfter := func(cause error) func(context.Context, context.CancelCauseFunc) {
		return func(ctx context.Context, cancel context.CancelCauseFunc) {
			time.AfterFunc(20*time.Millisecond, func() { cancel(cause) })
		}
	}
	tests := []struct {
		name, path string
		behaviour  behaviour
		end        func(context.Context, context.CancelCauseFunc)
		step       string
		cause      string
		status     int
	}{
		{"the client of a booking leaves", "/once/", hangs, cancelAfter(nil), "Refused", disconnected, 0},
		{"the client of a stream leaves", "/stream/", stalls, cancelAfter(nil), "Aborted", disconnected, 200},
		{"the deadline of a booking passes", "/once/", hangs, noEnd, "Refused", expired, 0},
		{"the deadline of a stream passes", "/stream/", stalls, noEnd, "Aborted", expired, 200},
		{"the deadline of a stream of comments passes", "/stream/", sendsComments, noEnd, "Aborted", expired, 200},
		{"the instance stops during a booking", "/once/", hangs, cancelAfter(relay.ErrStopping), "Refused", stopping, 0},
		{"the instance stops during a stream", "/stream/", stalls, cancelAfter(relay.ErrStopping), "Aborted", stopping, 200},
		{"the answer to a booking is lost", "/once/", losesAnswer, noEnd, "Refused", "no attempt is left", 0},
		{"a stream breaks off", "/stream/", breaksOff, noEnd, "Aborted", "no attempt is left", 200},
		{"all endpoints reject a booking", "/once/", rejects, noEnd, "Refused", "no endpoint is open", 503},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(func(a *relay.Attempt) behaviour {
				if a.PrefillOnly {
					return succeeds
				}
				return test.behaviour
			})
			ctx, cancel := context.WithCancelCause(t.Context())
			defer cancel(nil)
			test.end(ctx, cancel)
			h.serve(ctx, &relay.Request{ID: "r", Arrived: time.Now(), Method: "POST", Path: test.path, Host: "h", Prompt: prompt()})
			d := h.recorder.decisions[len(h.recorder.decisions)-1]
			if d.Step != test.step || d.Request != "r" || d.Endpoint == "" || d.Status != test.status {
				t.Errorf("the last decision is %+v, want %s with status %d", d, test.step, test.status)
			}
			if !strings.HasSuffix(d.Reason, test.cause) {
				t.Errorf("the reason is %q, want %q", d.Reason, test.cause)
			}
			if test.behaviour != rejects && d.Held <= 0 || d.Held > d.Age {
				t.Errorf("the endpoint had the request for %v of %v", d.Held, d.Age)
			}
			if expiredEarly := strings.Contains(d.Reason, expired) && d.Left > 0; expiredEarly {
				t.Errorf("the deadline has not passed: %v are left", d.Left)
			}
		})
	}
}

// TestStreamWithoutEventsIsMetered checks that a stream that ends without any event counts as one that ran.
func TestStreamWithoutEventsIsMetered(t *testing.T) {
	h := newHarness(always(sendsNoEvents))
	if c := h.request(t, "/stream/"); !c.ended || h.recorder.began != 1 {
		t.Errorf("ended %v, metered %d times", c.ended, h.recorder.began)
	}
}

// TestResumedStreamThatGetsAnotherAnswerIsLogged checks that the end of a stream is logged if the endpoint that is to resume it
// answers with an error.
func TestResumedStreamThatGetsAnotherAnswerIsLogged(t *testing.T) {
	runs := 0
	h := newHarness(func(a *relay.Attempt) behaviour {
		if a.PrefillOnly {
			return succeeds
		}
		if runs++; runs == 1 {
			return breaksOff
		}
		return fails
	})
	c := h.request(t, "/resume/")
	d := h.recorder.decisions[len(h.recorder.decisions)-1]
	if !c.aborted || d.Step != "Aborted" || d.Status != 500 || d.Endpoint == "" {
		t.Errorf("aborted %v; the last decision is %+v", c.aborted, d)
	}
}

// TestSlowStreamIsNotCut checks that slow but sound streams reach the client whole: one that cannot be resumed, and one that can be but
// is slow at each endpoint.
func TestSlowStreamIsNotCut(t *testing.T) {
	for path, runs := range map[string]int{"/stream/": 1, "/resume/": 2} {
		h := newHarness(func(a *relay.Attempt) behaviour {
			if a.PrefillOnly {
				return succeeds
			}
			return sendsSlowly
		})
		c := h.request(t, path)
		if !c.ended || c.events != completeStream() || h.sender.runs > runs {
			t.Errorf("%s: got %q, ended %v, after %d runs", path, c.events, c.ended, h.sender.runs)
		}
	}
}

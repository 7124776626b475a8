package relay_test

import (
	"testing"
	"time"

	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/roster"
)

// TestRequestIsRefusedAtOnceWhileAllEndpointsPause guards against requests that wait for endpoints which all want none, and against clients
// that return too early or all at once. Nothing is sent, so the refusal says that the request has not run.
func TestRequestIsRefusedAtOnceWhileAllEndpointsPause(t *testing.T) {
	s := &gatedSender{answer: func(e *roster.Endpoint, _ *relay.Attempt) *relay.Answer {
		if string(e.Entry().ID) == second {
			return pausing(3 * time.Second)
		}
		return pausing(20 * time.Second)
	}}
	h := newGatedHarness(s)
	for range 5 {
		h.ask(t, "/once/")
	}
	sends := len(s.writes)
	h.clock.Advance(time.Second)
	seen := map[time.Duration]bool{}
	for range 50 {
		c := h.ask(t, "/once/")
		if c.refusal == nil || c.refusal.Verdict != relay.NotRun {
			t.Fatalf("got %+v", c.refusal)
		}
		if d := c.refusal.RetryAfter; d < 2*time.Second || d > 3*time.Second {
			t.Errorf("the client may return in %v, the first endpoint in 2 s", d)
		}
		seen[c.refusal.RetryAfter] = true
	}
	if len(s.writes) != sends || len(seen) < 25 {
		t.Errorf("%d requests were sent; %d different times for 50 clients", len(s.writes)-sends, len(seen))
	}
	if c := h.ask(t, "/stream/"); c.refusal == nil || c.refusal.RetryAfter < 2*time.Second {
		t.Errorf("a stream got %+v", c.refusal)
	}
}

// TestOneAvailableEndpointKeepsTheOrdinaryRetryAfter guards against clients that wait for the end of a pause though an endpoint has asked
// for none.
func TestOneAvailableEndpointKeepsTheOrdinaryRetryAfter(t *testing.T) {
	s := &gatedSender{answer: func(e *roster.Endpoint, _ *relay.Attempt) *relay.Answer {
		if string(e.Entry().ID) == second {
			return pausing(0)
		}
		return pausing(20 * time.Second)
	}}
	h := newGatedHarness(s)
	if c := h.ask(t, "/once/"); c.refusal == nil || c.refusal.RetryAfter != 500*time.Millisecond {
		t.Errorf("got %+v", c.refusal)
	}
}

package relay_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/roster"
)

// pausing is a rejection that asks for a pause.
func pausing(d time.Duration) *relay.Answer {
	return &relay.Answer{Status: 503, NotRun: true, RetryAfter: d, Body: &body{}}
}

// The endpoints of the plain service in these tests.
const (
	first  = "plain-None-0"
	second = "plain-None-1"
)

// TestRequestsThatWaitForAConnectionRespectAPause guards against a burst of requests that were chosen for an endpoint before it asked for a
// pause: all but those that had been written turn elsewhere, and none comes back before the end of the pause.
func TestRequestsThatWaitForAConnectionRespectAPause(t *testing.T) {
	const burst, pause = 30, 2 * time.Second
	s := &gatedSender{}
	h := newGatedHarness(s)
	h.only(first, second)
	waiting := 0
	waitedAtFirst := 0
	s.connect = func(e *roster.Endpoint, _ *relay.Attempt) {
		if waiting < burst {
			if string(e.Entry().ID) == first {
				waitedAtFirst++
			}
			waiting++
			h.ask(t, "/once/")
		}
	}
	asked := false
	s.answer = func(e *roster.Endpoint, a *relay.Attempt) *relay.Answer {
		if string(e.Entry().ID) == first && !asked {
			asked = true
			return pausing(pause)
		}
		return success(e, a)
	}
	h.ask(t, "/once/")
	if waitedAtFirst < burst/3 {
		t.Fatalf("%d requests of the burst waited for the endpoint", waitedAtFirst)
	}
	for range 20 {
		h.clock.Advance(pause / 25)
		h.ask(t, "/once/")
	}
	if n := s.writesTo(first); n != 1 {
		t.Errorf("%d requests reached the endpoint, want the one that it rejected", n)
	}
	if len(h.recorder.notices) != 1 || h.recorder.notices[0].Step != "EndpointPauseRequested" || h.recorder.notices[0].Pause != pause {
		t.Errorf("the notices are %+v", h.recorder.notices)
	}
}

// TestSuccessOfAnOlderRequestDoesNotEndAPause guards against a success of a request that was sent before the pause, which ends the pauses
// after failures.
func TestSuccessOfAnOlderRequestDoesNotEndAPause(t *testing.T) {
	s := &gatedSender{}
	h := newGatedHarness(s)
	h.only(first)
	n := 0
	s.answer = func(e *roster.Endpoint, a *relay.Attempt) *relay.Answer {
		if n++; n == 1 {
			h.ask(t, "/once/")
			return success(e, a)
		}
		return pausing(4 * time.Second)
	}
	if c := h.ask(t, "/once/"); c.status != 200 {
		t.Fatalf("the older request got %+v", c)
	}
	h.clock.Advance(3 * time.Second)
	if c := h.ask(t, "/once/"); c.refusal == nil || n != 2 {
		t.Errorf("the endpoint got %d requests, and the last got %+v", n, c)
	}
}

// TestOneRequestProbesAfterAPause guards against all waiting requests following a pause at once, onto an endpoint that is still full.
func TestOneRequestProbesAfterAPause(t *testing.T) {
	const burst = 20
	s := &gatedSender{}
	h := newGatedHarness(s)
	h.only(first, second)
	full := true
	s.answer = func(e *roster.Endpoint, a *relay.Attempt) *relay.Answer {
		if string(e.Entry().ID) == first && full {
			return pausing(time.Second)
		}
		return success(e, a)
	}
	askUntil := func(reached int) {
		for range 100 {
			if s.writesTo(first) >= reached {
				return
			}
			h.ask(t, "/once/")
		}
		t.Fatalf("the endpoint got %d requests, want %d", s.writesTo(first), reached)
	}
	askUntil(1)
	h.clock.Advance(time.Second)
	waiting := 0
	s.connect = func(*roster.Endpoint, *relay.Attempt) {
		if waiting < burst {
			waiting++
			h.ask(t, "/once/")
		}
	}
	askUntil(2)
	if n := s.writesTo(first); n != 2 {
		t.Errorf("%d requests reached the endpoint, want one after the pause", n)
	}
	full = false
	h.clock.Advance(time.Second)
	waiting = burst
	s.answer = func(e *roster.Endpoint, a *relay.Attempt) *relay.Answer {
		if string(e.Entry().ID) == first {
			s.answer = success
			h.only(first)
			for range burst {
				if c := h.ask(t, "/once/"); c.refusal == nil || c.refusal.Verdict != relay.NotRun {
					t.Errorf("while the probe has no answer a request got %+v", c)
				}
			}
			if n := s.writesTo(first); n != 3 {
				t.Errorf("%d requests reached the endpoint while its probe had no answer", n-3)
			}
		}
		return success(e, a)
	}
	askUntil(3)
	askUntil(6)
	if steps := noticeSteps(h.recorder.notices); !slices.Equal(steps, []string{"EndpointPauseRequested", "EndpointPauseRequested", "EndpointPauseEnded"}) {
		t.Errorf("the notices are %v", steps)
	}
}

func noticeSteps(notices []relay.Notice) []string {
	var steps []string
	for _, n := range notices {
		steps = append(steps, n.Step)
	}
	return steps
}

// TestPauseWithoutAPromiseIsNotRepeated guards against a booking that runs twice: a 503 that does not say that the booking has not run pauses
// the endpoint, and the booking is not sent again.
func TestPauseWithoutAPromiseIsNotRepeated(t *testing.T) {
	s := &gatedSender{answer: func(*roster.Endpoint, *relay.Attempt) *relay.Answer {
		return &relay.Answer{Status: 503, RetryAfter: time.Second, Body: &body{}}
	}}
	h := newGatedHarness(s)
	if c := h.ask(t, "/once/"); c.refusal == nil || c.refusal.Verdict != relay.Unknown || len(s.writes) != 1 {
		t.Errorf("got %+v after %d sends", c.refusal, len(s.writes))
	}
	if len(h.recorder.notices) != 1 {
		t.Errorf("the notices are %+v", h.recorder.notices)
	}
}

// TestCacheAtAPausedEndpointIsNotFetched guards against fetches from an engine that wants nothing: the engine asked for a pause after it had
// prefilled the prompt and before the request was written to the decode engine, which then prefills the prompt itself.
func TestCacheAtAPausedEndpointIsNotFetched(t *testing.T) {
	s := &gatedSender{}
	h := newGatedHarness(s)
	s.connect = func(_ *roster.Endpoint, a *relay.Attempt) {
		if a.Source != nil {
			a.Source.Endpoint.MarkPauseRequested(h.clock.Now(), time.Second)
		}
	}
	c := h.ask(t, "/stream/")
	if !c.ended || c.events != completeStream() {
		t.Errorf("got %+v", c)
	}
	if len(s.writes) != 2 || !s.writes[0].attempt.PrefillOnly || s.writes[1].attempt.Source != nil || s.writes[1].attempt.PrefillOnly {
		t.Errorf("the sends are %+v", s.writes)
	}
	if s.frees > 0 {
		t.Error("the paused engine was asked to free the KV cache")
	}
}

// TestMalformedRetryAfterIsLoggedOnce guards against a line for each answer of an endpoint that states no usable time.
func TestMalformedRetryAfterIsLoggedOnce(t *testing.T) {
	s := &gatedSender{answer: func(*roster.Endpoint, *relay.Attempt) *relay.Answer {
		return &relay.Answer{Status: 503, NotRun: true, RetryAfterErr: fmt.Errorf("malformed"), Body: &body{}}
	}}
	h := newGatedHarness(s)
	h.only(first)
	for range 5 {
		h.clock.Advance(5 * time.Second)
		h.ask(t, "/once/")
	}
	if len(s.writes) < 2 || len(h.recorder.notices) != 1 || h.recorder.notices[0].Err == nil {
		t.Errorf("after %d answers the notices are %+v", len(s.writes), h.recorder.notices)
	}
}

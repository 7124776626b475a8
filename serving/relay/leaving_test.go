package relay_test

import (
	"slices"
	"strings"
	"testing"

	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
	"pgregory.net/rapid"
)

// TestAnyAnswerThatSaysLeavingEndsNewRequests guards against requests to a leaving endpoint that said so in an answer that is not the
// complete one of a booking.
func TestAnyAnswerThatSaysLeavingEndsNewRequests(t *testing.T) {
	tests := []struct {
		name, path string
		answers    func(a *relay.Attempt) bool
		answer     relay.Answer
	}{
		{"a success", "/once/", anyAttempt, relay.Answer{Status: 200, Body: &body{text: "whole"}}},
		{"an error", "/once/", anyAttempt, relay.Answer{Status: 500, Body: &body{text: "failed"}}},
		{"a client's error", "/once/", anyAttempt, relay.Answer{Status: 404, Body: &body{text: "none"}}},
		{"a rejection", "/once/", anyAttempt, relay.Answer{Status: 503, NotRun: true, Body: &body{}}},
		{"a 503 without a promise", "/once/", anyAttempt, relay.Answer{Status: 503, Body: &body{}}},
		{"an answer that breaks off", "/once/", anyAttempt, relay.Answer{Status: 200, Body: &body{breaksOff: true}}},
		{"a prefill", "/stream/", isPrefill, relay.Answer{Status: 200, Body: &body{text: "handle"}}},
		{"a prefill that was rejected", "/stream/", isPrefill, relay.Answer{Status: 503, NotRun: true, Body: &body{}}},
		{"the head of a stream", "/stream/", isRun, relay.Answer{Status: 200, Header: relay.Header{"From": {""}}, Body: &body{next: 1}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			told := ""
			s := &gatedSender{}
			s.answer = func(e *roster.Endpoint, a *relay.Attempt) *relay.Answer {
				if told != "" || !test.answers(a) {
					return success(e, a)
				}
				told = string(e.Entry().ID)
				answer := test.answer
				answer.Leaving = true
				return &answer
			}
			h := newGatedHarness(s)
			h.directory.StoreLost()
			h.ask(t, test.path)
			if told == "" || len(h.recorder.notices) != 1 || string(h.recorder.notices[0].Endpoint.ID) != told {
				t.Fatalf("%q said that it leaves; the notices are %+v", told, h.recorder.notices)
			}
			before := s.writesTo(told)
			for range 20 {
				h.ask(t, test.path)
			}
			if n := s.writesTo(told) - before; n > 0 {
				t.Errorf("%d requests reached the endpoint after it had said that it leaves", n)
			}
		})
	}
}

func anyAttempt(*relay.Attempt) bool  { return true }
func isPrefill(a *relay.Attempt) bool { return a.PrefillOnly }
func isRun(a *relay.Attempt) bool     { return !a.PrefillOnly }

// TestAnswerToAFreedCacheSaysLeaving guards against a mark that is lost because no request waits for the answer.
func TestAnswerToAFreedCacheSaysLeaving(t *testing.T) {
	s := &gatedSender{freed: &relay.Answer{Status: 200, Leaving: true}}
	s.answer = func(e *roster.Endpoint, a *relay.Attempt) *relay.Answer {
		if a.PrefillOnly {
			return success(e, a)
		}
		return &relay.Answer{Status: 503, NotRun: true, Body: &body{}}
	}
	h := newGatedHarness(s)
	h.ask(t, "/stream/")
	if len(h.recorder.notices) == 0 {
		t.Error("no endpoint counts as leaving")
	}
	for _, n := range h.recorder.notices {
		if n.Source != "free" || h.directory.View().All()[n.Endpoint.ID].Available(h.clock.Now()) {
			t.Errorf("the notice is %+v, or the endpoint is available", n)
		}
	}
}

// TestMisdirectedAnswerDoesNotMakeAnEndpointLeave guards against a mark that belongs to another endpoint at a reused address.
func TestMisdirectedAnswerDoesNotMakeAnEndpointLeave(t *testing.T) {
	s := &gatedSender{answer: func(*roster.Endpoint, *relay.Attempt) *relay.Answer {
		return &relay.Answer{Status: 421, Misdirected: true, Leaving: true, Body: &body{}}
	}}
	h := newGatedHarness(s)
	h.ask(t, "/once/")
	if len(s.writes) == 0 || len(h.recorder.notices) != 0 {
		t.Errorf("%d sends; the notices are %+v", len(s.writes), h.recorder.notices)
	}
}

// TestRequestThatWaitsForAConnectionTurnsElsewhere guards against requests that were chosen for an endpoint before it said that it leaves
// and are written after that: first sends, prefills, retries and resumptions. The endpoint has not failed by it.
func TestRequestThatWaitsForAConnectionTurnsElsewhere(t *testing.T) {
	tests := []struct {
		name, path string
		waits      func(a *relay.Attempt) bool
		// lost is whether the first run ends without a complete answer, so that the request is sent again.
		lost bool
	}{
		{"a first send", "/once/", isRun, false},
		{"a prefill", "/stream/", isPrefill, false},
		{"a send after a prefill", "/stream/", isRun, false},
		{"a retry", "/again/", isRun, true},
		{"a resumption", "/resume/", func(a *relay.Attempt) bool { return a.LastEvent != "" }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var waited *roster.Endpoint
			runs := 0
			s := &gatedSender{}
			s.connect = func(e *roster.Endpoint, a *relay.Attempt) {
				if waited == nil && test.waits(a) && (!test.lost || runs > 0) {
					waited = e
					e.MarkLeaving()
				}
			}
			s.answer = func(e *roster.Endpoint, a *relay.Attempt) *relay.Answer {
				answer := success(e, a)
				if !a.PrefillOnly {
					if runs++; runs == 1 && test.lost {
						answer.Body.(*body).breaksOff = true
					}
				}
				return answer
			}
			h := newGatedHarness(s)
			c := h.ask(t, test.path)
			if waited == nil || s.writesTo(string(waited.Entry().ID)) > 0 {
				t.Fatal("the request reached the endpoint that it waited for, or did not wait")
			}
			if !slices.Contains(h.steps("r1"), "Withdrawn") || waited.Paused(h.clock.Now()) {
				t.Errorf("the steps are %v, and the endpoint is paused: %v", h.steps("r1"), waited.Paused(h.clock.Now()))
			}
			if c.status != 200 || len(h.recorder.domains) > 0 {
				t.Errorf("status %d, refusal %+v, domains %v", c.status, c.refusal, h.recorder.domains)
			}
		})
	}
}

// TestWithdrawnRequestIsRefusedAsNotRun guards against a withdrawn send that counts as one that may have run.
func TestWithdrawnRequestIsRefusedAsNotRun(t *testing.T) {
	s := &gatedSender{connect: func(e *roster.Endpoint, _ *relay.Attempt) { e.MarkLeaving() }}
	h := newGatedHarness(s)
	c := h.ask(t, "/once/")
	if c.refusal == nil || c.refusal.Verdict != relay.NotRun || len(s.writes) > 0 || h.recorder.began > 0 {
		t.Errorf("refused with %+v after %d sends, metered %d times", c.refusal, len(s.writes), h.recorder.began)
	}
}

// TestWithdrawnSendKeepsItsRetry guards against requests that are refused for lack of retry budget although the retry that they took was not
// sent.
func TestWithdrawnSendKeepsItsRetry(t *testing.T) {
	sends := 0
	s := &gatedSender{connect: func(e *roster.Endpoint, _ *relay.Attempt) {
		if sends++; sends == 2 {
			e.MarkLeaving()
		}
	}}
	h := newGatedHarness(s)
	s.answer = func(e *roster.Endpoint, a *relay.Attempt) *relay.Answer {
		if len(s.writes) == 1 {
			h.relay.SetBudget(0, 1)
			return &relay.Answer{Status: 503, NotRun: true, Body: &body{}}
		}
		return success(e, a)
	}
	if c := h.ask(t, "/again/"); c.refusal != nil || c.status != 200 || sends != 3 {
		t.Errorf("refused with %+v after %d sends", c.refusal, sends)
	}
}

// TestPrefillAtALeavingEndpointIsUsed guards against prompts that are read twice because the engine that read them is leaving: the request
// ran there before the engine said so.
func TestPrefillAtALeavingEndpointIsUsed(t *testing.T) {
	s := &gatedSender{}
	s.answer = func(e *roster.Endpoint, a *relay.Attempt) *relay.Answer {
		answer := success(e, a)
		answer.Leaving = a.PrefillOnly
		return answer
	}
	h := newGatedHarness(s)
	h.ask(t, "/stream/")
	if len(s.writes) != 2 || s.writes[1].attempt.Source == nil {
		t.Errorf("the sends are %+v", s.writes)
	}
}

// TestNoRequestReachesAnEndpointThatSaidItLeaves sends requests of each kind while endpoints say in any answer, or peers report, that they
// leave, and rows that do not say so arrive. Nothing may be written to an incarnation from then on.
func TestNoRequestReachesAnEndpointThatSaidItLeaves(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &gatedSender{}
		h := newGatedHarness(s)
		leaving := map[roster.Key]bool{}
		ids := []wire.EndpointId{}
		for id := range h.directory.View().All() {
			ids = append(ids, id)
		}
		slices.SortFunc(ids, func(a, b wire.EndpointId) int { return strings.Compare(string(a), string(b)) })
		change := func() {
			e := h.directory.View().All()[rapid.SampledFrom(ids).Draw(rt, "id")]
			if e == nil {
				return
			}
			entry := *e.Entry()
			switch rapid.IntRange(0, 5).Draw(rt, "change") {
			case 0:
				h.directory.MarkLeaving(entry.Key)
				leaving[entry.Key] = true
			case 1:
				entry.Slots++
				h.directory.Put(entry)
			case 2:
				h.directory.Remove(entry.ID, h.clock.Now())
				h.directory.Put(entry)
			case 3:
				entry.Born++
				h.directory.Put(entry)
			}
		}
		s.connect = func(*roster.Endpoint, *relay.Attempt) { change() }
		s.answer = func(e *roster.Endpoint, a *relay.Attempt) *relay.Answer {
			k := e.Entry().Key
			if leaving[k] {
				rt.Fatalf("an attempt was written to %+v after it had said that it leaves", k)
			}
			answer := success(e, a)
			switch behaviour(rapid.IntRange(0, int(hangs)).Draw(rt, "behaviour")) {
			case rejects:
				answer = &relay.Answer{Status: 503, NotRun: true, Body: &body{}}
			case losesAnswer:
				return nil
			case breaksOff:
				answer.Body.(*body).breaksOff = true
			case fails:
				answer = &relay.Answer{Status: 500, Body: &body{text: "failed"}}
			}
			answer.Leaving = rapid.IntRange(0, 4).Draw(rt, "leaving") == 0
			leaving[k] = leaving[k] || answer.Leaving
			return answer
		}
		for range rapid.IntRange(1, 12).Draw(rt, "requests") {
			h.ask(t, rapid.SampledFrom([]string{"/once/", "/again/", "/stream/", "/resume/"}).Draw(rt, "path"))
		}
	})
}

package relay_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/roster"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"
)

func always(b behaviour) func(*relay.Attempt) behaviour {
	return func(*relay.Attempt) behaviour { return b }
}

// TestGuaranteesHoldForAnyEndpointBehaviour sends requests of each kind to endpoints that behave at random, and checks that the
// answer to the client is true of what the endpoints did.
func TestGuaranteesHoldForAnyEndpointBehaviour(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(func(*relay.Attempt) behaviour {
			return behaviour(rapid.IntRange(0, int(behaviourCount)-1).Draw(t, "behaviour"))
		})
		path := rapid.SampledFrom([]string{"/once/", "/again/", "/stream/", "/resume/"}).Draw(t, "path")
		c := h.serve(t.Context(), &relay.Request{ID: "r", Arrived: time.Now(), Method: "POST", Path: path, Host: "h", Prompt: prompt()})
		maxRuns := 2
		if path == "/once/" || path == "/stream/" {
			maxRuns = 1
		}
		if h.sender.runs > maxRuns {
			t.Fatalf("ran %d times", h.sender.runs)
		}
		if c.refusal != nil && c.refusal.Verdict == relay.NotRun && h.sender.runs > 0 {
			t.Fatal("the client was told that the request has not run, but it has")
		}
		if c.ended && c.events != completeStream() {
			t.Fatalf("a stream that was completed has the events %q", c.events)
		}
		if len(c.events) > 0 && c.events != completeStream()[:len(c.events)] {
			t.Fatalf("events %q are not the first ones of the stream", c.events)
		}
		if !c.ended && !c.aborted && c.refusal == nil && c.status == 0 {
			t.Fatal("the client got no answer")
		}
		if h.sender.prefilled > h.sender.fetched+h.sender.freed {
			t.Fatalf("of %d KV caches %d were fetched and %d freed", h.sender.prefilled, h.sender.fetched, h.sender.freed)
		}
		if h.recorder.began > 1 || h.recorder.began > h.sender.runs {
			t.Fatalf("the request was metered %d times for %d runs", h.recorder.began, h.sender.runs)
		}
	})
}

func TestOutcomes(t *testing.T) {
	tests := []struct {
		name, path string
		behaviours []behaviour
		status     int
		verdict    relay.Verdict
		runs       int
	}{
		{"a booking runs", "/once/", []behaviour{succeeds}, 200, 0, 1},
		{"a booking that was rejected runs elsewhere", "/once/", []behaviour{rejects, succeeds}, 200, 0, 1},
		{"a booking at a reused address runs elsewhere", "/once/", []behaviour{misdirects, succeeds}, 200, 0, 1},
		{"a booking whose answer was lost is not repeated", "/once/", []behaviour{losesAnswer, succeeds}, 0, relay.Unknown, 1},
		{"a booking whose answer was cut is not repeated", "/once/", []behaviour{breaksOff, succeeds}, 0, relay.Unknown, 1},
		{"a booking that failed is not repeated", "/once/", []behaviour{fails, succeeds}, 500, 0, 1},
		{"a 503 that does not state that the booking did not run is reported as unknown", "/once/", []behaviour{answers503}, 0, relay.Unknown, 1},
		{"a lookup whose answer was lost is repeated", "/again/", []behaviour{losesAnswer, succeeds}, 200, 0, 2},
		{"a lookup that failed is repeated", "/again/", []behaviour{fails, succeeds}, 200, 0, 2},
		{"a lookup is repeated up to the limit of its route", "/again/", []behaviour{losesAnswer, losesAnswer, succeeds}, 0, relay.Unknown, 2},
		{"a failure is passed on if no attempt is left", "/again/", []behaviour{fails, fails}, 500, 0, 2},
		{"a lookup at a silent endpoint goes elsewhere", "/again/", []behaviour{hangs, succeeds}, 200, 0, 2},
		{"a lookup waits for the endpoint of its last attempt", "/again/", []behaviour{fails, hangs}, 0, relay.Expired, 2},
		{"a booking at a silent endpoint waits", "/once/", []behaviour{hangs, succeeds}, 0, relay.Expired, 1},
		{"no endpoint is reachable", "/once/", []behaviour{unreachable, unreachable, unreachable, unreachable}, 0, relay.NotRun, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			left := test.behaviours
			h := newHarness(func(*relay.Attempt) behaviour {
				b := left[0]
				left = left[1:]
				return b
			})
			c := h.request(t, test.path)
			if c.status != test.status || h.sender.runs != test.runs {
				t.Errorf("status %d and %d runs, want %d and %d", c.status, h.sender.runs, test.status, test.runs)
			}
			if test.status == 0 && (c.refusal == nil || c.refusal.Verdict != test.verdict) {
				t.Errorf("refused with %+v, want %v", c.refusal, test.verdict)
			}
		})
	}
}

func TestBrokenStreamResumesElsewhereWithTheFirstHead(t *testing.T) {
	broke := false
	h := newHarness(func(a *relay.Attempt) behaviour {
		if a.PrefillOnly || broke {
			return succeeds
		}
		broke = true
		return breaksOff
	})
	c := h.request(t, "/resume/")
	if !c.ended || c.events != completeStream() {
		t.Errorf("got %q, ended %v", c.events, c.ended)
	}
	last := h.sender.attempts[len(h.sender.attempts)-1]
	if last.LastEvent != "2" || h.recorder.began != 1 {
		t.Errorf("resumed after event %q, metered %d times", last.LastEvent, h.recorder.began)
	}
}

func TestStalledStreamResumesElsewhere(t *testing.T) {
	stalled := false
	h := newHarness(func(a *relay.Attempt) behaviour {
		if a.PrefillOnly || stalled {
			return succeeds
		}
		stalled = true
		return stalls
	})
	c := h.request(t, "/resume/")
	if !c.ended || c.events != completeStream() || h.sender.runs != 2 {
		t.Errorf("got %q, ended %v, after %d runs", c.events, c.ended, h.sender.runs)
	}
}

func TestStreamThatIsNotResumableIsAborted(t *testing.T) {
	h := newHarness(func(a *relay.Attempt) behaviour {
		if a.PrefillOnly {
			return succeeds
		}
		return breaksOff
	})
	if c := h.request(t, "/stream/"); c.ended || !c.aborted || h.sender.runs != 1 {
		t.Errorf("ended %v, aborted %v, %d runs", c.ended, c.aborted, h.sender.runs)
	}
}

func TestOnlyLongPromptsArePrefilledSeparately(t *testing.T) {
	h := newHarness(always(succeeds))
	h.request(t, "/stream/")
	if len(h.sender.attempts) != 2 || !h.sender.attempts[0].PrefillOnly || h.sender.attempts[1].Source == nil {
		t.Errorf("the long prompt's attempts were %+v", h.sender.attempts)
	}
	h = newHarness(always(succeeds))
	h.serve(t.Context(), &relay.Request{ID: "r", Arrived: time.Now(), Path: "/stream/", Host: "h"})
	if len(h.sender.attempts) != 1 || h.sender.attempts[0].PrefillOnly {
		t.Errorf("the short prompt's attempts were %+v", h.sender.attempts)
	}
}

func TestRefusalsBeforeAnySend(t *testing.T) {
	h := newHarness(always(succeeds))
	tests := []struct {
		name    string
		request relay.Request
		want    relay.Verdict
	}{
		{"no id", relay.Request{Path: "/once/", Host: "h"}, relay.Malformed},
		{"no route", relay.Request{ID: "r", Path: "/none/", Host: "h"}, relay.NoRoute},
		{"no key", relay.Request{ID: "r", Path: "/private/", Host: "h"}, relay.NoKey},
		{"wrong key", relay.Request{ID: "r", Path: "/private/", Host: "h", Key: "other"}, relay.NoKey},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.request.Arrived = time.Now()
			c := h.serve(t.Context(), &test.request)
			if c.refusal == nil || c.refusal.Verdict != test.want || h.sender.sends > 0 {
				t.Errorf("got %+v after %d sends", c.refusal, h.sender.sends)
			}
		})
	}
	h.serve(t.Context(), &relay.Request{ID: "r", Arrived: time.Now(), Path: "/private/", Host: "h", Key: "key"})
	if h.sender.runs != 1 || h.sender.attempts[0].Workspace != "w" {
		t.Error("the request with a valid key did not run for its workspace")
	}
}

func TestRequestWithoutConfigurationIsRefusedAsNotRun(t *testing.T) {
	h := newHarness(always(succeeds))
	h.relay = relay.New(h.directory, h.sender, h.recorder, h.recorder, clockwork.NewRealClock(), "a", relay.BudgetBounds{})
	c := h.request(t, "/once/")
	if c.refusal == nil || c.refusal.Verdict != relay.NotRun || c.refusal.RetryAfter <= 0 || h.sender.sends > 0 {
		t.Errorf("got %+v after %d sends", c.refusal, h.sender.sends)
	}
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	h := newHarness(always(succeeds))
	if !h.relay.SetTable(table(7)) || h.relay.SetTable(table(7)) || h.relay.SetTable(table(3)) {
		t.Error("a newer configuration was ignored, or one that is not newer was accepted")
	}
	if v := h.relay.Table().Version; v != 7 {
		t.Errorf("version %d is in force", v)
	}
}

func TestPassedDeadlineIsRefusedAsNotRun(t *testing.T) {
	h := newHarness(always(succeeds))
	c := h.serve(t.Context(), &relay.Request{ID: "r", Arrived: time.Now().Add(-time.Minute), Path: "/once/", Host: "h"})
	if c.refusal == nil || c.refusal.Verdict != relay.NotRun || h.sender.sends > 0 {
		t.Errorf("got %+v after %d sends", c.refusal, h.sender.sends)
	}
}

func TestRequestOfDisconnectedClientIsNotSent(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	h := newHarness(always(succeeds))
	h.serve(ctx, &relay.Request{ID: "r", Arrived: time.Now(), Path: "/again/", Host: "h"})
	if h.sender.sends > 0 {
		t.Error("a request was sent after its client had left")
	}
}

func TestSpentBudgetEndsRetries(t *testing.T) {
	h := newHarness(always(rejects))
	h.relay.SetBudget(budgetRatio, 0)
	c := h.request(t, "/again/")
	if c.refusal == nil || c.refusal.Verdict != relay.NotRun || h.sender.sends != 1 {
		t.Errorf("got %+v after %d sends", c.refusal, h.sender.sends)
	}
}

func TestLeavingEngineGetsNoRequest(t *testing.T) {
	h := newHarness(always(succeeds))
	for id, e := range h.directory.View().All() {
		if entry := *e.Entry(); entry.Stage == roster.Decode && id != "engines-Decode-2" {
			entry.Leaving = true
			h.directory.Put(entry)
		}
	}
	c := h.request(t, "/stream/")
	if c.from != "engines-Decode-2" {
		t.Errorf("ran at %q", c.from)
	}
}

// TestCommentsAreNoProgressOfAStream checks that a stream on which only comments arrive is resumed at another endpoint.
func TestCommentsAreNoProgressOfAStream(t *testing.T) {
	commented := false
	h := newHarness(func(a *relay.Attempt) behaviour {
		if a.PrefillOnly || commented {
			return succeeds
		}
		commented = true
		return sendsComments
	})
	c := h.request(t, "/resume/")
	if !c.ended || c.events != completeStream() || h.sender.runs != 2 {
		t.Errorf("got %q, ended %v, after %d runs", c.events, c.ended, h.sender.runs)
	}
}

// TestPausesAndUnreachableDomainsAreReported checks that the observer is notified when an endpoint or a failure domain is first
// avoided, so that the log shows since when.
func TestPausesAndUnreachableDomainsAreReported(t *testing.T) {
	b := behaviour(unreachable)
	h := newHarness(func(*relay.Attempt) behaviour { return b })
	h.request(t, "/once/")
	if len(h.recorder.paused) == 0 || h.recorder.paused[0] != "Failed" {
		t.Errorf("the decisions that paused an endpoint are %v", h.recorder.paused)
	}
	if !slices.Equal(h.recorder.domains, []string{"unreachable a"}) {
		t.Errorf("domains reported as unreachable or reachable: %v", h.recorder.domains)
	}
	b = succeeds
	for _, e := range h.directory.View().Service(plainService) {
		e.MarkWorking()
	}
	h.request(t, "/once/")
	if !slices.Equal(h.recorder.domains, []string{"unreachable a", "reachable a"}) {
		t.Errorf("domains reported as unreachable or reachable: %v", h.recorder.domains)
	}
}

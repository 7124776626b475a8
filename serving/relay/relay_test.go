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

func always(d deed) func(*relay.Attempt) deed {
	return func(*relay.Attempt) deed { return d }
}

// TestPromisesHoldWhateverEndpointsDo drives requests of each kind against endpoints that do anything, and holds what the
// client was told to what the endpoints did.
func TestPromisesHoldWhateverEndpointsDo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(func(*relay.Attempt) deed { return deed(rapid.IntRange(0, int(deeds)-1).Draw(t, "deed")) })
		path := rapid.SampledFrom([]string{"/once/", "/again/", "/stream/", "/resume/"}).Draw(t, "path")
		c := w.send(t.Context(), &relay.Request{ID: "r", Arrived: time.Now(), Method: "POST", Path: path, Host: "h", Prompt: prompt()})
		most := 2
		if path == "/once/" || path == "/stream/" {
			most = 1
		}
		if w.fleet.runs > most {
			t.Fatalf("ran %d times", w.fleet.runs)
		}
		if c.refusal != nil && c.refusal.Verdict == relay.NotRun && w.fleet.runs > 0 {
			t.Fatal("was told that the request has not run, which it has")
		}
		if c.ended && c.events != wholeStream() {
			t.Fatalf("a stream that looks complete has the events %q", c.events)
		}
		if len(c.events) > 0 && c.events != wholeStream()[:len(c.events)] {
			t.Fatalf("events %q are not the first ones of the stream", c.events)
		}
		if !c.ended && !c.aborted && c.refusal == nil && c.status == 0 {
			t.Fatal("was told nothing")
		}
		if w.fleet.prefilled > w.fleet.taken+w.fleet.freed {
			t.Fatalf("of %d KV caches %d were taken and %d freed", w.fleet.prefilled, w.fleet.taken, w.fleet.freed)
		}
		if w.meter.began > 1 || w.meter.began > w.fleet.runs {
			t.Fatalf("counted %d times for %d runs", w.meter.began, w.fleet.runs)
		}
	})
}

func TestOutcomes(t *testing.T) {
	tests := []struct {
		name, path string
		deeds      []deed
		status     int
		verdict    relay.Verdict
		runs       int
	}{
		{"a booking runs", "/once/", []deed{answers}, 200, 0, 1},
		{"a booking that was refused runs elsewhere", "/once/", []deed{full, answers}, 200, 0, 1},
		{"a booking at a reused address runs elsewhere", "/once/", []deed{moved, answers}, 200, 0, 1},
		{"a booking whose answer was lost is not repeated", "/once/", []deed{silent, answers}, 0, relay.Unknown, 1},
		{"a booking whose answer was cut is not repeated", "/once/", []deed{breaks, answers}, 0, relay.Unknown, 1},
		{"a booking that failed is not repeated", "/once/", []deed{errs, answers}, 500, 0, 1},
		{"a refusal that promises nothing is no promise", "/once/", []deed{busy}, 0, relay.Unknown, 1},
		{"a lookup whose answer was lost is repeated", "/again/", []deed{silent, answers}, 200, 0, 2},
		{"a lookup that failed is repeated", "/again/", []deed{errs, answers}, 200, 0, 2},
		{"a lookup is repeated as often as its route says", "/again/", []deed{silent, silent, answers}, 0, relay.Unknown, 2},
		{"a failure is passed on if no attempt is left", "/again/", []deed{errs, errs}, 500, 0, 2},
		{"a lookup at a silent endpoint goes elsewhere", "/again/", []deed{hangs, answers}, 200, 0, 2},
		{"a lookup waits for its last endpoint", "/again/", []deed{errs, hangs}, 0, relay.Expired, 2},
		{"a booking at a silent endpoint waits", "/once/", []deed{hangs, answers}, 0, relay.Expired, 1},
		{"nobody is reached", "/once/", []deed{unreachable, unreachable, unreachable, unreachable}, 0, relay.NotRun, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			left := test.deeds
			w := newWorld(func(*relay.Attempt) deed {
				d := left[0]
				left = left[1:]
				return d
			})
			c := w.ask(t, test.path)
			if c.status != test.status || w.fleet.runs != test.runs {
				t.Errorf("status %d and %d runs, want %d and %d", c.status, w.fleet.runs, test.status, test.runs)
			}
			if test.status == 0 && (c.refusal == nil || c.refusal.Verdict != test.verdict) {
				t.Errorf("refused with %+v, want %v", c.refusal, test.verdict)
			}
		})
	}
}

func TestStreamGoesOnElsewhereWithTheFirstHead(t *testing.T) {
	broke := false
	w := newWorld(func(a *relay.Attempt) deed {
		if a.PrefillOnly || broke {
			return answers
		}
		broke = true
		return breaks
	})
	c := w.ask(t, "/resume/")
	if !c.ended || c.events != wholeStream() {
		t.Errorf("got %q, ended %v", c.events, c.ended)
	}
	last := w.fleet.attempts[len(w.fleet.attempts)-1]
	if last.LastEvent != "2" || w.meter.began != 1 {
		t.Errorf("went on after %q, counted %d times", last.LastEvent, w.meter.began)
	}
}

func TestStreamThatPausesForTooLongGoesOnElsewhere(t *testing.T) {
	stalled := false
	w := newWorld(func(a *relay.Attempt) deed {
		if a.PrefillOnly || stalled {
			return answers
		}
		stalled = true
		return stalls
	})
	c := w.ask(t, "/resume/")
	if !c.ended || c.events != wholeStream() || w.fleet.runs != 2 {
		t.Errorf("got %q, ended %v, after %d runs", c.events, c.ended, w.fleet.runs)
	}
}

func TestStreamThatMayNotGoOnLooksCut(t *testing.T) {
	w := newWorld(func(a *relay.Attempt) deed {
		if a.PrefillOnly {
			return answers
		}
		return breaks
	})
	if c := w.ask(t, "/stream/"); c.ended || !c.aborted || w.fleet.runs != 1 {
		t.Errorf("ended %v, aborted %v, %d runs", c.ended, c.aborted, w.fleet.runs)
	}
}

func TestLongPromptIsReadApartAndShortOneIsNot(t *testing.T) {
	w := newWorld(always(answers))
	w.ask(t, "/stream/")
	if len(w.fleet.attempts) != 2 || !w.fleet.attempts[0].PrefillOnly || w.fleet.attempts[1].Source == nil {
		t.Errorf("the long prompt's attempts were %+v", w.fleet.attempts)
	}
	w = newWorld(always(answers))
	w.send(t.Context(), &relay.Request{ID: "r", Arrived: time.Now(), Path: "/stream/", Host: "h"})
	if len(w.fleet.attempts) != 1 || w.fleet.attempts[0].PrefillOnly {
		t.Errorf("the short prompt's attempts were %+v", w.fleet.attempts)
	}
}

func TestRefusalsBeforeAnySend(t *testing.T) {
	w := newWorld(always(answers))
	tests := []struct {
		name    string
		request relay.Request
		want    relay.Verdict
	}{
		{"no id", relay.Request{Path: "/once/", Host: "h"}, relay.Malformed},
		{"no route", relay.Request{ID: "r", Path: "/none/", Host: "h"}, relay.NoRoute},
		{"no key", relay.Request{ID: "r", Path: "/closed/", Host: "h"}, relay.NoKey},
		{"wrong key", relay.Request{ID: "r", Path: "/closed/", Host: "h", Key: "other"}, relay.NoKey},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.request.Arrived = time.Now()
			c := w.send(t.Context(), &test.request)
			if c.refusal == nil || c.refusal.Verdict != test.want || w.fleet.sends > 0 {
				t.Errorf("got %+v after %d sends", c.refusal, w.fleet.sends)
			}
		})
	}
	w.send(t.Context(), &relay.Request{ID: "r", Arrived: time.Now(), Path: "/closed/", Host: "h", Key: "key"})
	if w.fleet.runs != 1 || w.fleet.attempts[0].Workspace != "w" {
		t.Error("the key's own workspace was refused")
	}
}

func TestInstanceWithoutConfigurationSaysNotRun(t *testing.T) {
	w := newWorld(always(answers))
	w.relay = relay.New(w.directory, w.fleet, w.meter, w.meter, clockwork.NewRealClock(), "a", relay.BudgetBounds{})
	c := w.ask(t, "/once/")
	if c.refusal == nil || c.refusal.Verdict != relay.NotRun || c.refusal.RetryAfter <= 0 || w.fleet.sends > 0 {
		t.Errorf("got %+v after %d sends", c.refusal, w.fleet.sends)
	}
}

func TestOlderConfigurationIsNeverTaken(t *testing.T) {
	w := newWorld(always(answers))
	if !w.relay.SetTable(table(7)) || w.relay.SetTable(table(7)) || w.relay.SetTable(table(3)) {
		t.Error("a configuration that is not newer was taken")
	}
	if v := w.relay.Table().Version; v != 7 {
		t.Errorf("version %d is in force", v)
	}
}

func TestPassedDeadlineIsRefusedAsNotRun(t *testing.T) {
	w := newWorld(always(answers))
	c := w.send(t.Context(), &relay.Request{ID: "r", Arrived: time.Now().Add(-time.Minute), Path: "/once/", Host: "h"})
	if c.refusal == nil || c.refusal.Verdict != relay.NotRun || w.fleet.sends > 0 {
		t.Errorf("got %+v after %d sends", c.refusal, w.fleet.sends)
	}
}

func TestClientWhoLeftIsNotServed(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	w := newWorld(always(answers))
	w.send(ctx, &relay.Request{ID: "r", Arrived: time.Now(), Path: "/again/", Host: "h"})
	if w.fleet.sends > 0 {
		t.Error("a request was sent after its client had left")
	}
}

func TestSpentBudgetEndsRetries(t *testing.T) {
	w := newWorld(always(full))
	w.relay.SetBudget(budgetRatio, 0)
	c := w.ask(t, "/again/")
	if c.refusal == nil || c.refusal.Verdict != relay.NotRun || w.fleet.sends != 1 {
		t.Errorf("got %+v after %d sends", c.refusal, w.fleet.sends)
	}
}

func TestEngineThatIsLeavingGetsNothing(t *testing.T) {
	w := newWorld(always(answers))
	for id, e := range w.directory.View().All() {
		if entry := *e.Entry(); entry.Stage == roster.Decode && id != "engines-Decode-2" {
			entry.Leaving = true
			w.directory.Put(entry)
		}
	}
	c := w.ask(t, "/stream/")
	if c.from != "engines-Decode-2" {
		t.Errorf("ran at %q", c.from)
	}
}

// TestChangesOfBeliefAreTold holds that an engineer can see from the log since when an endpoint or a failure domain is avoided.
func TestChangesOfBeliefAreTold(t *testing.T) {
	d := deed(unreachable)
	w := newWorld(func(*relay.Attempt) deed { return d })
	w.ask(t, "/once/")
	if len(w.meter.paused) == 0 || w.meter.paused[0] != "Failed" {
		t.Errorf("pauses were told with %v", w.meter.paused)
	}
	if !slices.Equal(w.meter.domains, []string{"cut a"}) {
		t.Errorf("told of domains: %v", w.meter.domains)
	}
	d = answers
	for _, e := range w.directory.View().Service(plain) {
		e.Worked()
	}
	w.ask(t, "/once/")
	if !slices.Equal(w.meter.domains, []string{"cut a", "reached a"}) {
		t.Errorf("told of domains: %v", w.meter.domains)
	}
}

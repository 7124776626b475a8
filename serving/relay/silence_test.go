package relay_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cowslipshunt.example/serving/quarantine"
	"cowslipshunt.example/serving/relay"
	"github.com/jonboulle/clockwork"
)

// TestSilentStreamIsKeptWithoutBudgetToMove guards against streams that are cut although they cannot go on elsewhere: a sound endpoint
// falls silent for a while, and the retry budget is spent by then.
func TestSilentStreamIsKeptWithoutBudgetToMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(func(a *relay.Attempt) behaviour {
			if a.PrefillOnly {
				return succeeds
			}
			return fallsSilent
		})
		h.sender.onSilence = func() { h.relay.SetBudget(0, 0) }
		h.expectWholeStream(t, "Waited")
	})
}

// TestSilentStreamIsKeptWithoutAnotherEndpoint guards against the same when no other endpoint is open.
func TestSilentStreamIsKeptWithoutAnotherEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(func(a *relay.Attempt) behaviour {
			if a.PrefillOnly {
				return succeeds
			}
			return fallsSilent
		})
		h.sender.onSilence = func() {
			for _, e := range h.directory.View().Service(engineService) {
				if e.OwnInFlight() > 0 {
					continue
				}
				entry := *e.Entry()
				entry.Leaving = true
				h.directory.Put(entry)
			}
		}
		h.expectWholeStream(t, "Waited")
	})
}

// TestSilentStreamIsKeptBeforeItsFirstEvent guards against the same when the caller has the head of the stream and no event yet.
func TestSilentStreamIsKeptBeforeItsFirstEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(func(a *relay.Attempt) behaviour {
			if a.PrefillOnly {
				return succeeds
			}
			return beginsWithComment
		})
		h.sender.onSilence = func() { h.relay.SetBudget(0, 0) }
		h.expectWholeStream(t, "Waited")
	})
}

// TestSilentRequestIsKeptBeforeItsAnswer guards against requests that are given up although they cannot be sent elsewhere: a sound endpoint
// is silent before its answer, and the retry budget is spent by then.
func TestSilentRequestIsKeptBeforeItsAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, path := range []string{"/again/", "/resume/"} {
			h := newHarness(func(a *relay.Attempt) behaviour {
				if a.PrefillOnly {
					return succeeds
				}
				return answersLate
			})
			h.sender.onSilence = func() { h.relay.SetBudget(0, 0) }
			c := h.request(t, path)
			if c.refusal != nil || c.aborted || h.sender.runs != 1 {
				t.Errorf("%s: refused %v, aborted %v, after %d runs", path, c.refusal, c.aborted, h.sender.runs)
			}
		}
	})
}

// slowCaller takes the first event only after silence.
type slowCaller struct {
	fakeCaller
}

func (c *slowCaller) Event(e []byte) error {
	if c.events == "" {
		<-time.After(silence)
	}
	return c.fakeCaller.Event(e)
}

// TestSlowCallerKeepsItsStream guards against streams that are taken from an endpoint that was never silent: their caller is slow to take
// the events.
func TestSlowCallerKeepsItsStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(func(a *relay.Attempt) behaviour {
			if a.PrefillOnly {
				return succeeds
			}
			return stopsWhenCancelled
		})
		c := &slowCaller{}
		h.relay.Serve(t.Context(), &relay.Request{ID: "r", Arrived: time.Now(), Method: "POST", Path: "/resume/", Host: "h", Prompt: prompt()}, c)
		if !c.ended || h.sender.runs != 1 {
			t.Errorf("got %q, ended %v, after %d runs", c.events, c.ended, h.sender.runs)
		}
	})
}

// expectWholeStream requests a resumable stream and fails the test unless it comes whole from one run, with a decision of the given step.
func (h *harness) expectWholeStream(t *testing.T, step string) {
	t.Helper()
	c := h.request(t, "/resume/")
	if !c.ended || c.events != completeStream() || h.sender.runs != 1 {
		t.Errorf("got %q, ended %v, aborted %v, after %d runs", c.events, c.ended, c.aborted, h.sender.runs)
	}
	for _, d := range h.recorder.decisions {
		if d.Step == step {
			return
		}
	}
	t.Errorf("no decision %q in %+v", step, h.recorder.decisions)
}

// TestSilentStreamMovesOnce checks that a silent stream that can go on elsewhere takes one retry from the budget for that.
func TestSilentStreamMovesOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stalled := false
		h := newHarness(func(a *relay.Attempt) behaviour {
			if a.PrefillOnly || stalled {
				return succeeds
			}
			stalled = true
			return stalls
		})
		h.relay.SetBudget(0, 1)
		c := h.request(t, "/resume/")
		if !c.ended || c.events != completeStream() || h.sender.runs != 2 {
			t.Errorf("got %q, ended %v, aborted %v, after %d runs", c.events, c.ended, c.aborted, h.sender.runs)
		}
	})
}

// TestFailureNamesTheTimeLimit guards against a log in which a send that was cancelled for its endpoint's silence looks like any other
// closed connection.
func TestFailureNamesTheTimeLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for path, b := range map[string]behaviour{"/resume/": stalls, "/again/": hangs} {
			h := newHarness(firstThen(b, succeeds))
			h.request(t, path)
			named := false
			for _, d := range h.recorder.decisions {
				named = named || d.Step == "Failed" && strings.Contains(d.Err.Error(), "no data within the time limit")
			}
			if !named {
				t.Errorf("%s: no failure names the time limit", path)
			}
		}
	})
}

// TestPaidSendIsNotSpentOnPrefill guards against requests that are taken from a silent endpoint and then refused: the one send that the
// budget allowed was spent on another prefill.
func TestPaidSendIsNotSpentOnPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runs := 0
		h := newHarness(func(a *relay.Attempt) behaviour {
			if a.PrefillOnly {
				return succeeds
			}
			if runs++; runs == 1 {
				return hangs
			}
			return succeeds
		})
		h.relay.SetBudget(0, 1)
		if c := h.request(t, "/resume/"); !c.ended || h.sender.runs != 2 || h.sender.prefilled != 1 {
			t.Errorf("ended %v, refused %v, after %d runs and %d prefills", c.ended, c.refusal, h.sender.runs, h.sender.prefilled)
		}
	})
}

// TestSilentRequestIsKeptWhileItsPromptIsHeld guards against the same when the prompt is put into quarantine meanwhile: what runs already may
// still be answered.
func TestSilentRequestIsKeptWhileItsPromptIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(func(a *relay.Attempt) behaviour {
			if a.PrefillOnly {
				return succeeds
			}
			return answersLate
		})
		q := quarantine.New(clockwork.NewRealClock())
		h.relay = relay.New(h.directory, h.sender, h.recorder, h.recorder, clockwork.NewRealClock(), "a",
			relay.BudgetBounds{Window: 10 * time.Second, Ratio: budgetRatio, Slack: 100}, relay.WithQuarantine(q))
		h.relay.SetTable(table(1))
		h.sender.onSilence = func() {
			q.Apply(&quarantine.Evidence{Holds: []quarantine.Hold{{Parts: []quarantine.PartID{quarantine.NewPartID("a")}, Left: time.Minute.Milliseconds()}}})
		}
		if c := h.request(t, "/again/"); c.refusal != nil || c.status != 200 || h.sender.runs != 1 {
			t.Errorf("refused %v, status %d, after %d runs", c.refusal, c.status, h.sender.runs)
		}
	})
}

// TestSilentStreamWithoutIDsIsKept guards against the same when the last event has no id, after which no endpoint could resume the stream.
func TestSilentStreamWithoutIDsIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(func(a *relay.Attempt) behaviour {
			if a.PrefillOnly {
				return succeeds
			}
			return sendsUnnumbered
		})
		h.sender.onSilence = func() {}
		if c := h.request(t, "/resume/"); !c.ended || c.aborted || h.sender.runs != 1 {
			t.Errorf("got %q, ended %v, aborted %v, after %d runs", c.events, c.ended, c.aborted, h.sender.runs)
		}
	})
}

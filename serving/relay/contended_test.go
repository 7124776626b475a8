package relay_test

import (
	"testing"
	"time"

	"cowslipshunt.example/serving/placement"
	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/serving/route"
)

// contendedTable is the configuration of the harness with a quota, which makes its model service contended.
func contendedTable() *route.Table {
	t := table(2)
	for _, s := range t.Services {
		s.Contended = s.Engine != nil
	}
	return t
}

// TestSpeedsAreLearnedForContendedServicesOnly checks that prefills are samples of their engines' speeds if the service is contended, and that other
// services go on with the nominal speed.
func TestSpeedsAreLearnedForContendedServicesOnly(t *testing.T) {
	for _, contended := range []bool{false, true} {
		samples := 0
		h := newHarness(func(*relay.Attempt) behaviour { return succeeds })
		relay.WithSpeedReporter(func(e *roster.Endpoint, factor float64, _ bool) {
			samples++
			if factor <= 0 || e.Entry().Stage != roster.Prefill {
				t.Errorf("a sample of %v of an engine of stage %v", factor, e.Entry().Stage)
			}
		})(h.relay)
		h.sender.prefillTime = 5 * time.Millisecond
		if contended {
			h.relay.SetTable(contendedTable())
		}
		for range 3 {
			if c := h.request(t, "/stream/"); !c.ended {
				t.Fatalf("contended %v: the request ended with %+v", contended, c)
			}
		}
		if (samples > 0) != contended {
			t.Errorf("contended %v: %d samples", contended, samples)
		}
		for id, e := range h.directory.View().All() {
			if e.PrefillLoad() != 0 || e.InFlight() != 0 {
				t.Errorf("contended %v: %s has a load of %d tokens and %d requests left", contended, id, e.PrefillLoad(), e.InFlight())
			}
		}
	}
}

// TestPrefillLoadEndsWithFirstEvent guards against an estimate of the queue at a decode engine that counts prompts which it has read.
func TestPrefillLoadEndsWithFirstEvent(t *testing.T) {
	for _, contended := range []bool{false, true} {
		h := newHarness(func(*relay.Attempt) behaviour { return fallsSilent })
		if contended {
			h.relay.SetTable(contendedTable())
		}
		tokens := -1
		h.sender.onSilence = func() {
			tokens = 0
			for _, e := range h.directory.View().All() {
				tokens += e.PrefillLoad()
			}
		}
		r := &relay.Request{ID: "r", Arrived: time.Now(), Method: "POST", Path: "/stream/", Host: "h", Prompt: placement.NewPrompt(500, 5, nil)}
		h.serve(t.Context(), r)
		if want := map[bool]int{false: 500, true: 0}[contended]; tokens != want {
			t.Errorf("contended %v: %d tokens count as queued during the stream, want %d", contended, tokens, want)
		}
	}
}

// backlog adds prompts to the engines of a stage, as many tokens at each. The returned function removes them.
func (h *harness) backlog(stage roster.Stage, tokens int) func() {
	var ends []func()
	for _, e := range h.directory.View().Service(engineService) {
		if e.Entry().Stage == stage {
			ends = append(ends, e.BeginPrefill(tokens))
		}
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// patientTable is contendedTable with objectives and timeouts as callers have them.
func patientTable() *route.Table {
	t := contendedTable()
	r := t.Find("h", "/stream/")
	r.Goal, r.Timeout = 600*time.Millisecond, 8*time.Second
	return t
}

// TestBacklogAtPrefillEngines guards against prompts that wait at the prefill engines while decode engines could prefill them in time, against
// decode engines that take over what they cannot prefill in time, and against requests that are sent in vain. A backlog of 25 tokens takes a
// prefill engine about half a millisecond.
func TestBacklogAtPrefillEngines(t *testing.T) {
	const halfSecond, twoSeconds = 25_000, 100_000
	for _, c := range []struct {
		name            string
		prefill, decode int
		contended       bool
		separate        bool
		refused         bool
	}{
		{name: "no backlog", contended: true, separate: true},
		{name: "backlog at the prefill engines", prefill: 2 * halfSecond, contended: true},
		{name: "backlog at both", prefill: 2 * halfSecond, decode: halfSecond, contended: true, separate: true},
		{name: "backlog that nobody outlasts", prefill: twoSeconds, decode: twoSeconds, contended: true, refused: true},
		{name: "not contended", prefill: twoSeconds, decode: twoSeconds, separate: true},
	} {
		h := newHarness(func(*relay.Attempt) behaviour { return succeeds })
		configuration := patientTable()
		for _, s := range configuration.Services {
			s.Contended = s.Contended && c.contended
		}
		h.relay.SetTable(configuration)
		removePrefill, removeDecode := h.backlog(roster.Prefill, c.prefill), h.backlog(roster.Decode, c.decode)
		got := h.request(t, "/stream/")
		if refused := got.refusal != nil; refused != c.refused || (h.sender.prefilled > 0) != c.separate {
			t.Errorf("%s: refusal %+v, %d separate prefills, want refused %v and separate %v", c.name, got.refusal, h.sender.prefilled, c.refused, c.separate)
		}
		if c.refused && (got.refusal.Verdict != relay.NotRun || got.refusal.RetryAfter <= 0 || h.sender.sends > 0) {
			t.Errorf("%s: refused with %+v after %d sends", c.name, got.refusal, h.sender.sends)
		}
		removePrefill()
		removeDecode()
	}
}

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

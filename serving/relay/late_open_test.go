package relay_test

import (
	"testing"
	"testing/synctest"
	"time"

	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/roster"
)

// TestSilentStreamMovesToAnEndpointThatOpensLater guards against streams that stay with a silent endpoint to their deadline, because no other
// endpoint was open when they were sent.
func TestSilentStreamMovesToAnEndpointThatOpensLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := 0
		h := newHarness(func(*relay.Attempt) behaviour {
			if n++; n == 1 {
				return stalls
			}
			return succeeds
		})
		var later *roster.Entry
		open := 0
		for _, e := range h.directory.View().Service(engineService) {
			if entry := e.Entry(); entry.Stage == roster.Decode {
				if open++; open > 1 {
					later = entry
					h.directory.Remove(entry.ID, time.Now())
				}
			}
		}
		next := *later
		next.Key.Born++
		next.Key.ID = "later"
		time.AfterFunc(routeTimeout/10, func() { h.directory.Put(next) })
		c := h.requestWith(t, "/resume/", "r", 500, "first")
		if !c.ended || c.events != completeStream() {
			t.Errorf("got %q, ended %v, aborted %v, after %d runs", c.events, c.ended, c.aborted, h.sender.runs)
		}
	})
}

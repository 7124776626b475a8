package relay_test

import (
	"testing"
	"testing/synctest"

	"cowslipshunt.example/serving/relay"
)

// refusing are the behaviours of endpoints that do not take over a request, by name.
var refusing = map[string]behaviour{
	"rejects":                    rejects,
	"is another incarnation":     misdirects,
	"cannot be connected to":     unreachable,
	"loses the answer":           losesAnswer,
	"crashes":                    crashes,
	"fails":                      fails,
	"is busy, without a promise": answers503,
	"does not answer":            hangs,
	"answers with a panic":       panics,
}

// firstThen returns a fleet whose first run behaves in one way and all later ones in another. Prefills succeed.
func firstThen(first, later behaviour) func(*relay.Attempt) behaviour {
	runs := 0
	return func(a *relay.Attempt) behaviour {
		if a.PrefillOnly {
			return succeeds
		}
		if runs++; runs == 1 {
			return first
		}
		return later
	}
}

// TestSilentStreamIsKeptUntilAnotherEndpointAccepts guards against streams that are cut beside a silent moment of their endpoint: they left it
// for another one, which did not take them.
func TestSilentStreamIsKeptUntilAnotherEndpointAccepts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for name, other := range refusing {
			for _, silent := range []behaviour{fallsSilent, beginsWithComment} {
				h := newHarness(firstThen(silent, other))
				h.sender.onSilence = func() {}
				if c := h.request(t, "/resume/"); !c.ended || c.aborted || c.events != completeStream() {
					t.Errorf("another endpoint %s: got %q, ended %v, aborted %v, refused %v", name, c.events, c.ended, c.aborted, c.refusal)
				}
			}
		}
	})
}

// TestSilentRequestIsKeptUntilAnotherEndpointAnswers guards against the same before the head of the answer.
func TestSilentRequestIsKeptUntilAnotherEndpointAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for name, other := range refusing {
			for _, path := range []string{"/again/", "/resume/"} {
				h := newHarness(firstThen(answersLate, other))
				h.sender.onSilence = func() {}
				if c := h.request(t, path); c.refusal != nil || c.aborted || c.status != 200 {
					t.Errorf("%s, another endpoint %s: status %d, refused %v, aborted %v", path, name, c.status, c.refusal, c.aborted)
				}
			}
		}
	})
}

// TestSilentStreamMovesWithinItsBudget checks that a move that is rejected is tried again only while the retry budget allows it.
func TestSilentStreamMovesWithinItsBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(firstThen(fallsSilent, rejects))
		h.relay.SetBudget(0, 2)
		h.sender.onSilence = func() {}
		if c := h.request(t, "/resume/"); !c.ended || c.events != completeStream() || h.sender.sends > 4 {
			t.Errorf("got %q, ended %v, after %d sends, of which one was a prefill and one the first", c.events, c.ended, h.sender.sends)
		}
	})
}

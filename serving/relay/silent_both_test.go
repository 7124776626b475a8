package relay_test

import (
	"context"
	"testing"
	"time"

	"cowslipshunt.example/serving/relay"
)

// TestTwoSilentPrefillsAreGivenUp guards against requests that wait for prefill engines until their deadline though a decode engine could
// prefill their prompt: the engine that was asked in place of a silent one is silent too.
func TestTwoSilentPrefillsAreGivenUp(t *testing.T) {
	s := &stepSender{prefills: []step{answersAfter(time.Hour), answersAfter(time.Hour)}, runs: []step{answersAfter(0)}}
	if c := playScript(t, longPrompt, 5, s); !c.ended || c.finished > worldTimeout/2 {
		t.Errorf("got %v after %d prefills and %d runs", c, s.asked, s.ran)
	}
}

// TestSilentPrefillsAreKeptWithoutBudget guards against requests that are refused though a silent prefill goes on: the retry budget allows no
// send without a prefill, from the start or from the second prefill on.
func TestSilentPrefillsAreKeptWithoutBudget(t *testing.T) {
	for retries := range 4 {
		s := &stepSender{runs: []step{answersAfter(0)}}
		s.prefills = []step{answersAfter(4 * time.Second), func(ctx context.Context, a *relay.Attempt) (*relay.Answer, error) {
			s.world.relay.SetBudget(0, 0)
			return answersAfter(time.Hour)(ctx, a)
		}}
		if c := playScript(t, longPrompt, float64(retries), s); !c.ended || c.finished >= worldTimeout || retries == 0 && c.finished < 4*time.Second {
			t.Errorf("%d retries: got %v after %d prefills of which %d succeeded", retries, c, s.asked, s.prefilled)
		}
	}
}

// TestAbandonedSendsCountAsRuns guards against requests that run more often than their route allows: their endpoint falls silent again and
// again, and those that are asked meanwhile begin to run them.
func TestAbandonedSendsCountAsRuns(t *testing.T) {
	silentTwice := func(ctx context.Context, a *relay.Attempt) (*relay.Answer, error) {
		return &relay.Answer{Status: 200, EventStream: true, Header: relay.Header{"From": {""}}, Body: &pausingBody{ctx: ctx, next: nextEvent(a), pause: 1300 * time.Millisecond, again: true}}, nil
	}
	s := &stepSender{runs: []step{silentTwice, answersAfter(time.Hour), answersAfter(time.Hour)}}
	if c := playScript(t, 200, 5, s); !c.ended || s.ran != 2 {
		t.Errorf("got %v after %d runs, of at most 2", c, s.ran)
	}
}

// TestThirdEndpointIsAskedWhenTwoAreSilent guards against requests that wait for two silent endpoints until their deadline though their route
// allows a third run and another endpoint is open.
func TestThirdEndpointIsAskedWhenTwoAreSilent(t *testing.T) {
	s := &stepSender{runs: []step{answersAfter(time.Hour), answersAfter(time.Hour), answersAfter(0)}}
	if c := playScriptWith(t, 200, 2, 3, s); !c.ended || s.ran != 3 || c.finished > worldTimeout/2 {
		t.Errorf("got %v after %d runs", c, s.ran)
	}
	s = &stepSender{runs: []step{answersAfter(3 * time.Second), answersAfter(time.Hour), answersAfter(0)}}
	if c := playScriptWith(t, 200, 1, 3, s); !c.ended || s.ran != 2 {
		t.Errorf("with a budget of one send: got %v after %d runs", c, s.ran)
	}
}

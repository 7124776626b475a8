package relay_test

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"cowslipshunt.example/serving/placement"
	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/roster"
	"github.com/jonboulle/clockwork"
)

// endpointState is what a request could change of an endpoint.
type endpointState struct {
	load, inFlight, cached int
	available              bool
	speed                  float64
}

func (h *harness) state(p *placement.Prompt) map[string]endpointState {
	now, all := time.Now(), map[string]endpointState{}
	for id, e := range h.directory.View().All() {
		all[string(id)] = endpointState{e.PrefillLoad(), e.InFlight(), e.CachedParts(p.IDs, now), e.Available(now), e.Speed(now)}
	}
	return all
}

// TestExplainSaysWhatWouldHappen checks each outcome, and that asking for it neither sends anything nor changes the endpoints.
func TestExplainSaysWhatWouldHappen(t *testing.T) {
	long, short := prompt(), placement.NewPrompt(500, 5, nil)
	for _, c := range []struct {
		name     string
		question relay.Question
		outcome  relay.Outcome
		verdict  relay.Verdict
		reason   string
		stages   []roster.Stage
	}{
		{name: "separate prefill", question: relay.Question{Host: "h", Path: "/stream/", Prompt: long}, outcome: relay.OutcomeRun, stages: []roster.Stage{roster.Prefill, roster.Decode}},
		{name: "short prompt", question: relay.Question{Host: "h", Path: "/stream/", Prompt: short}, outcome: relay.OutcomeRun, stages: []roster.Stage{roster.Decode}},
		{name: "plain service", question: relay.Question{Host: "h", Path: "/once/"}, outcome: relay.OutcomeRun, stages: []roster.Stage{roster.NoStage}},
		{name: "workspace", question: relay.Question{Host: "h", Path: "/private/", Workspace: "w"}, outcome: relay.OutcomeRun, stages: []roster.Stage{roster.NoStage}},
		{name: "no route", question: relay.Question{Host: "x", Path: "/"}, outcome: relay.OutcomeRefuse, verdict: relay.NoRoute, reason: "no route"},
		{name: "no workspace", question: relay.Question{Host: "h", Path: "/private/", Workspace: "x"}, outcome: relay.OutcomeRefuse, verdict: relay.NoKey, reason: "no workspace"},
	} {
		for _, contended := range []bool{false, true} {
			h := newHarness(func(*relay.Attempt) behaviour { return succeeds })
			if contended {
				h.relay.SetTable(contendedTable())
			}
			before := h.state(&long)
			x := h.relay.Explain(&c.question)
			if x.Outcome != c.outcome || x.Verdict != c.verdict || !strings.Contains(x.Reason, c.reason) {
				t.Errorf("%s: %v, %v: %q", c.name, x.Outcome, x.Verdict, x.Reason)
			}
			var stages []roster.Stage
			for _, choice := range x.Choices {
				stages = append(stages, choice.Stage)
				if choice.Chosen == nil || len(choice.Costs) != 4 {
					t.Errorf("%s: chose %v of %d endpoints", c.name, choice.Chosen, len(choice.Costs))
				}
			}
			if !reflect.DeepEqual(stages, c.stages) {
				t.Errorf("%s: choices for the stages %v, want %v", c.name, stages, c.stages)
			}
			if after := h.state(&long); !reflect.DeepEqual(before, after) || h.sender.sends+h.sender.prefilled > 0 || len(h.recorder.decisions) > 0 {
				t.Errorf("%s: the state has changed from %v to %v", c.name, before, after)
			}
		}
	}
}

// TestExplainRefusesWithoutEndpointOrConfiguration checks the refusals that depend on the state of the instance.
func TestExplainRefusesWithoutEndpointOrConfiguration(t *testing.T) {
	q := &relay.Question{Host: "h", Path: "/once/"}
	bare := relay.New(roster.NewDirectory(), nil, nil, nil, clockwork.NewRealClock(), "a", relay.BudgetBounds{})
	if x := bare.Explain(q); x.Outcome != relay.OutcomeRefuse || x.Reason != "no configuration yet" {
		t.Errorf("without a configuration: %+v", x)
	}
	h := newHarness(func(*relay.Attempt) behaviour { return succeeds })
	for _, e := range h.directory.View().All() {
		e.MarkFailed(time.Now())
	}
	x := h.relay.Explain(q)
	if x.Outcome != relay.OutcomeRefuse || x.Verdict != relay.NotRun || x.RetryAfter <= 0 || len(x.Choices[0].Unavailable) != 4 {
		t.Errorf("with all endpoints paused: %+v", x)
	}
	h.relay.StopAt(time.Now())
	if x := h.relay.Explain(q); x.Reason != relay.ErrStopping.Error() {
		t.Errorf("while the instance stops: %+v", x)
	}
}

package relay_test

import (
	"testing"

	"cowslipshunt.example/serving/relay"
)

// TestDecisionsByBudgetNameItsState guards against a log that does not tell a spent retry budget from a budget of nothing.
func TestDecisionsByBudgetNameItsState(t *testing.T) {
	h := newHarness(always(rejects))
	h.relay.SetBudget(0, 2)
	h.request(t, "/again/")
	last := h.recorder.decisions[len(h.recorder.decisions)-1]
	if want := (relay.BudgetUsage{Retries: 2, Allowed: 2}); last.Step != relay.StepRefused || last.Budget == nil || *last.Budget != want {
		t.Errorf("the last decision is %+v with budget %+v, want %+v", last, last.Budget, want)
	}
	for _, d := range h.recorder.decisions[:len(h.recorder.decisions)-1] {
		if d.Budget != nil {
			t.Errorf("decision %q names the budget", d.Step)
		}
	}
}

package retry_test

import (
	"testing"
	"time"

	"cowslipshunt.example/serving/retry"
	"pgregory.net/rapid"
)

const (
	window = 10 * time.Second
	ratio  = 0.2
	slack  = 56.0
)

// event is a request or an extra send at a moment.
type event struct {
	at    time.Time
	extra bool
}

// within counts the requests and the extra sends in the window that ends with t.
func within(events []event, t time.Time) (requests, extra int) {
	for _, e := range events {
		if e.at.After(t) || !e.at.After(t.Add(-window)) {
			continue
		}
		if e.extra {
			extra++
		} else {
			requests++
		}
	}
	return requests, extra
}

// TestAllInstancesTogetherKeepTheBudget drives several instances that share the slack, with requests in bursts, and holds
// every sliding window to the bound over all of them. The requests are counted in that window, the one before it or the one half a
// window before it, whichever has most: a send may be granted for requests that leave the window before it does.
func TestAllInstancesTogetherKeepTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(t, "instances")
		budgets := make([]*retry.Budget, n)
		for i := range budgets {
			budgets[i] = retry.NewBudget(window, ratio, slack/float64(n))
		}
		now := time.Unix(1e9, 0)
		var events []event
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, n-1).Draw(t, "instance")]
			for range rapid.IntRange(0, 20).Draw(t, "requests") {
				b.Request(now)
				events = append(events, event{at: now})
			}
			for range rapid.IntRange(0, 20).Draw(t, "extra") {
				if b.Extra(now) {
					events = append(events, event{at: now, extra: true})
				}
			}
			requests, extra := within(events, now)
			for _, earlier := range []time.Duration{window / 2, window} {
				before, _ := within(events, now.Add(-earlier))
				requests = max(requests, before)
			}
			if float64(extra) > ratio*float64(requests)+slack {
				t.Fatalf("%d extra sends for %d requests", extra, requests)
			}
		}
	})
}

func TestLeftTakesNothing(t *testing.T) {
	b := retry.NewBudget(window, ratio, 1)
	now := time.Unix(1e9, 0)
	for range 2 {
		if !b.Left(now) {
			t.Error("asking took from the budget")
		}
	}
	if !b.Extra(now) || b.Left(now) || b.Extra(now) {
		t.Error("the budget of one send was not one send")
	}
	if !b.Extra(now.Add(2 * window)) {
		t.Error("the budget did not come back after its window")
	}
}

func TestSlackMayChange(t *testing.T) {
	b := retry.NewBudget(window, ratio, 0)
	now := time.Unix(1e9, 0)
	if b.Extra(now) {
		t.Error("an empty budget gave a send")
	}
	b.SetBounds(ratio, 1)
	if !b.Extra(now) {
		t.Error("the new slack gave no send")
	}
}

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

// event is a request, or a retry that a budget allowed.
type event struct {
	at    time.Time
	retry bool
}

// countInWindow counts the requests and the retries in the window that ends at t.
func countInWindow(events []event, t time.Time) (requests, retries int) {
	for _, e := range events {
		if e.at.After(t) || !e.at.After(t.Add(-window)) {
			continue
		}
		if e.retry {
			retries++
		} else {
			requests++
		}
	}
	return requests, retries
}

// TestAllInstancesTogetherKeepTheBudget sends requests in bursts to several instances that share the slack, and checks that every
// sliding window keeps the bound over all instances. The retries in a window are compared with the requests in that window, in
// the window before it or in the one that ends half a window earlier, whichever has most: a retry may be allowed because of
// requests that leave the window before the retry does.
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
				b.CountRequest(now)
				events = append(events, event{at: now})
			}
			for range rapid.IntRange(0, 20).Draw(t, "extra") {
				if b.TakeRetry(now) {
					events = append(events, event{at: now, retry: true})
				}
			}
			requests, retries := countInWindow(events, now)
			for _, shift := range []time.Duration{window / 2, window} {
				shifted, _ := countInWindow(events, now.Add(-shift))
				requests = max(requests, shifted)
			}
			if float64(retries) > ratio*float64(requests)+slack {
				t.Fatalf("%d retries for %d requests", retries, requests)
			}
		}
	})
}

func TestCanRetryTakesNothing(t *testing.T) {
	b := retry.NewBudget(window, ratio, 1)
	now := time.Unix(1e9, 0)
	for range 2 {
		if !b.CanRetry(now) {
			t.Error("CanRetry took from a budget of one retry")
		}
	}
	if !b.TakeRetry(now) || b.CanRetry(now) || b.TakeRetry(now) {
		t.Error("a budget of one retry did not allow exactly one")
	}
	if !b.TakeRetry(now.Add(2 * window)) {
		t.Error("the budget was not restored after its window")
	}
}

func TestSetBoundsChangesSlack(t *testing.T) {
	b := retry.NewBudget(window, ratio, 0)
	now := time.Unix(1e9, 0)
	if b.TakeRetry(now) {
		t.Error("an empty budget allowed a retry")
	}
	b.SetBounds(ratio, 1)
	if !b.TakeRetry(now) {
		t.Error("the new slack allowed no retry")
	}
}

// TestRetriesAreTakenTogetherOrNotAtAll guards against work that is paid for by half.
func TestRetriesAreTakenTogetherOrNotAtAll(t *testing.T) {
	b, now := retry.NewBudget(window, 0, 3), time.Unix(1e9, 0)
	if !b.TakeRetries(now, 2) || b.TakeRetries(now, 2) || !b.TakeRetry(now) || b.TakeRetry(now) {
		t.Error("a budget of 3 did not allow 2, then 1")
	}
}

// TestRenewedRetryCountsFromItsSend guards against sends beyond the budget: a retry that was taken early counts only for a window from then on.
func TestRenewedRetryCountsFromItsSend(t *testing.T) {
	b, now := retry.NewBudget(window, 0, 1), time.Unix(1e9, 0)
	sent := now.Add(window / 2)
	if !b.TakeRetry(now) || !b.Renew(now, sent) {
		t.Fatal("a budget of 1 did not allow one retry that is sent later")
	}
	if b.TakeRetry(sent.Add(window * 3 / 4)) {
		t.Error("another retry is allowed within a window of the one that was sent")
	}
	if late := sent.Add(2 * window); !b.TakeRetry(late) || b.Renew(sent, late) {
		t.Error("a retry that no longer counts was renewed although the budget is spent")
	}
}

package retry_test

import (
	"testing"
	"time"

	"cowslipshunt.example/serving/retry"
	"pgregory.net/rapid"
)

const (
	// discoveryLag is how long an instance takes to learn that another has started.
	discoveryLag = 3 * time.Second
	// countInterval is the interval at which an instance counts the live instances.
	countInterval = 500 * time.Millisecond
)

// incarnation is the state of an instance from one start to the next.
type incarnation struct {
	started    time.Time
	slackShare *retry.SlackShare
	budget     *retry.Budget
}

// TestInstancesThatStartAndStopKeepTheBudget starts, stops and restarts instances that make every retry that their budgets allow,
// and checks that every sliding window keeps the bound over all instances.
func TestInstancesThatStartAndStopKeepTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		start := func() *incarnation {
			return &incarnation{started: now, slackShare: retry.NewSlackShare(window, now), budget: retry.NewBudget(window, ratio, 0)}
		}
		var alive []*incarnation
		for range rapid.IntRange(1, 5).Draw(t, "instances") {
			alive = append(alive, start())
		}
		var events []event
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			now = now.Add(countInterval)
			switch rapid.IntRange(0, 19).Draw(t, "change") {
			case 0:
				alive = append(alive, start())
			case 1:
				if len(alive) > 1 {
					alive = alive[1:]
				}
			case 2:
				alive[0] = start()
			}
			for i, self := range alive {
				counted := 0
				for k, other := range alive {
					if k == i || now.Sub(other.started) >= discoveryLag {
						counted++
					}
				}
				self.budget.SetBounds(ratio, self.slackShare.Slack(slack, now, counted))
				for self.budget.TakeRetry(now) {
					events = append(events, event{at: now, retry: true})
				}
			}
			if _, retries := countInWindow(events, now); float64(retries) > slack {
				t.Fatalf("%d retries with a slack of %v", retries, slack)
			}
		}
	})
}

func TestSlackGrowsOnlyAfterAWindow(t *testing.T) {
	now := time.Unix(1e9, 0)
	s := retry.NewSlackShare(window, now)
	if got := s.Slack(slack, now, 4); got != 0 {
		t.Errorf("slack of a new instance: %v, want 0", got)
	}
	now = now.Add(14 * time.Second)
	if got := s.Slack(slack, now, 4); got != slack/4 {
		t.Errorf("slack with 4 alive: %v", got)
	}
	if got := s.Slack(slack, now, 8); got != slack/8 {
		t.Errorf("slack with 8 alive: %v", got)
	}
	if got := s.Slack(slack, now.Add(5*time.Second), 4); got != slack/8 {
		t.Errorf("slack 5 s after 4 of 8 have gone: %v", got)
	}
	if got := s.Slack(slack, now.Add(20*time.Second), 4); got != slack/4 {
		t.Errorf("slack 20 s after 4 of 8 have gone: %v", got)
	}
}

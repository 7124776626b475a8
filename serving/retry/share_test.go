package retry_test

import (
	"testing"
	"time"

	"cowslipshunt.example/serving/retry"
	"pgregory.net/rapid"
)

// lag is how long an instance may take to learn that another is alive, and look how often it counts.
const (
	lag  = 3 * time.Second
	look = 500 * time.Millisecond
)

// process is one incarnation of an instance.
type process struct {
	started time.Time
	share   *retry.Share
	budget  *retry.Budget
}

// TestInstancesThatComeAndGoKeepTheBudget starts, stops and restarts instances that spend all they can, and holds every
// sliding window to the bound over all of them.
func TestInstancesThatComeAndGoKeepTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		begin := func() *process {
			return &process{started: now, share: retry.NewShare(window, now), budget: retry.NewBudget(window, ratio, 0)}
		}
		var alive []*process
		for range rapid.IntRange(1, 5).Draw(t, "instances") {
			alive = append(alive, begin())
		}
		var events []event
		for range rapid.IntRange(20, 120).Draw(t, "looks") {
			now = now.Add(look)
			switch rapid.IntRange(0, 19).Draw(t, "change") {
			case 0:
				alive = append(alive, begin())
			case 1:
				if len(alive) > 1 {
					alive = alive[1:]
				}
			case 2:
				alive[0] = begin()
			}
			for i, p := range alive {
				known := 0
				for k, other := range alive {
					if k == i || now.Sub(other.started) >= lag {
						known++
					}
				}
				p.budget.SetBounds(ratio, p.share.Slack(slack, now, known))
				for p.budget.Extra(now) {
					events = append(events, event{at: now, extra: true})
				}
			}
			if _, extra := within(events, now); float64(extra) > slack {
				t.Fatalf("%d extra sends with a slack of %v", extra, slack)
			}
		}
	})
}

func TestShareIsUsedOnceItIsSafe(t *testing.T) {
	now := time.Unix(1e9, 0)
	s := retry.NewShare(window, now)
	if got := s.Slack(slack, now, 4); got != 0 {
		t.Errorf("a new instance has %v", got)
	}
	now = now.Add(14 * time.Second)
	if got := s.Slack(slack, now, 4); got != slack/4 {
		t.Errorf("with 4 alive: %v", got)
	}
	if got := s.Slack(slack, now, 8); got != slack/8 {
		t.Errorf("with 8 alive: %v", got)
	}
	if got := s.Slack(slack, now.Add(5*time.Second), 4); got != slack/8 {
		t.Errorf("soon after 4 have gone: %v", got)
	}
	if got := s.Slack(slack, now.Add(20*time.Second), 4); got != slack/4 {
		t.Errorf("long after 4 have gone: %v", got)
	}
}

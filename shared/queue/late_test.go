package queue_test

import (
	"errors"
	"testing"
	"time"

	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/shared/queue"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"
)

// TestEarlyRejectionMatchesMeasuredRate serves one workspace at a steady rate. Its next request must be rejected exactly if the
// wait computed from this rate is too long. A workspace without waiting requests is never rejected.
func TestEarlyRejectionMatchesMeasuredRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		q := queue.New(clock)
		d := newTestDirectory()
		free := false
		choose := func() *endpoint.Slot {
			if !free {
				return nil
			}
			free = false
			return &endpoint.Slot{Endpoint: d.View().Model("m")[0]}
		}
		interval := time.Duration(rapid.IntRange(1, 20).Draw(t, "interval")) * 100 * time.Millisecond
		waiting := rapid.IntRange(1, 40).Draw(t, "waiting")
		within := time.Duration(rapid.IntRange(1, 40).Draw(t, "within")) * 500 * time.Millisecond
		request := queue.Request{Workspace: "w", Estimate: 7, Choose: choose}
		for range waiting {
			if _, err := q.Join(request); err != nil {
				t.Fatal(err)
			}
		}
		for range 30 {
			clock.Advance(interval)
			free = true
			q.Wake()
			if _, err := q.Join(request); err != nil {
				t.Fatal(err)
			}
		}
		request.MaxWait = within
		_, err := q.Join(request)
		wait := interval * time.Duration(waiting)
		var late *queue.LateError
		if errors.As(err, &late) != (wait > within) {
			t.Fatalf("Join returned %v for a wait of %v", err, wait)
		}
		if late != nil && (late.Wait-wait).Abs() > time.Millisecond {
			t.Fatalf("expected wait is %v, want %v", late.Wait, wait)
		}
		request.Workspace = "other"
		if _, err := q.Join(request); err != nil {
			t.Fatalf("a workspace without waiting requests was rejected: %v", err)
		}
	})
}

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

// TestRefusalFollowsTheMeasuredRate serves one workspace at a steady rate and holds the refusal of its next request to the
// wait that this rate gives. A workspace with nothing waiting is never refused.
func TestRefusalFollowsTheMeasuredRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		q := queue.New(clock)
		d := directory()
		free := false
		choose := func() *endpoint.Slot {
			if !free {
				return nil
			}
			free = false
			return &endpoint.Slot{Endpoint: d.View().Model("m")[0]}
		}
		every := time.Duration(rapid.IntRange(1, 20).Draw(t, "every")) * 100 * time.Millisecond
		waiting := rapid.IntRange(1, 40).Draw(t, "waiting")
		within := time.Duration(rapid.IntRange(1, 40).Draw(t, "within")) * 500 * time.Millisecond
		request := queue.Request{Workspace: "w", Estimate: 7, Choose: choose}
		for range waiting {
			if _, err := q.Join(request); err != nil {
				t.Fatal(err)
			}
		}
		for range 30 {
			clock.Advance(every)
			free = true
			q.Wake()
			if _, err := q.Join(request); err != nil {
				t.Fatal(err)
			}
		}
		request.Within = within
		_, err := q.Join(request)
		wait := every * time.Duration(waiting)
		var late *queue.LateError
		if errors.As(err, &late) != (wait > within) {
			t.Fatalf("%v for a wait of %v", err, wait)
		}
		if late != nil && (late.Wait-wait).Abs() > time.Millisecond {
			t.Fatalf("expects %v instead of %v", late.Wait, wait)
		}
		request.Workspace = "other"
		if _, err := q.Join(request); err != nil {
			t.Fatalf("a workspace with nothing waiting got %v", err)
		}
	})
}

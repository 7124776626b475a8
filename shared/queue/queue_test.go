package queue_test

import (
	"context"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/shared/queue"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"
)

const slots = 4

// directory returns a directory with one endpoint of a few slots.
func directory() *endpoint.Directory {
	d := endpoint.NewDirectory(endpoint.WithLimits(func(wire.EndpointKindName) int { return slots }))
	d.Apply(wire.EndpointStates{Epoch: 1, Endpoints: []wire.EndpointState{{Endpoint: "e", Model: "m", Phase: wire.EndpointPhaseReady}}})
	return d
}

// TestGreedyWorkspaceDoesNotLowerOthers lets one workspace queue ten times as many requests as the others and demands that
// no workspace with work to do falls behind another by more than the requests that can be in service at once.
func TestGreedyWorkspaceDoesNotLowerOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := directory()
		q := queue.New(clockwork.NewFakeClock())
		rng := rand.New(rand.NewPCG(1, 1))
		choose := func() *endpoint.Slot {
			return endpoint.Choose(d.View().Model("m"), endpoint.Need{}, time.Unix(0, 0), rng)
		}
		names := []wire.WorkspaceName{"greedy", "a", "b"}
		load := map[wire.WorkspaceName]int{"greedy": 200, "a": 20, "b": 20}
		cost := rapid.IntRange(1, 50).Draw(t, "cost")
		type grant struct {
			name wire.WorkspaceName
			at   *endpoint.Slot
		}
		granted := make(chan grant, 300)
		for _, name := range names {
			for range load[name] {
				go func() {
					if e, err := q.Acquire(context.Background(), queue.Request{Workspace: name, Estimate: queue.Service(cost), Choose: choose}); err == nil {
						granted <- grant{name, e}
					}
				}()
			}
		}
		served := map[wire.WorkspaceName]int{}
		for range slots {
			served[(<-granted).name]++
		}
		for q.Waiting() < 240-slots {
			runtime.Gosched()
		}
		base := served["greedy"]
		for range 30 {
			d.View().Model("m")[0].Release()
			q.Wake()
			served[(<-granted).name]++
		}
		for _, name := range names[1:] {
			if served[name] < (served["greedy"]-base)-slots-1 {
				t.Fatalf("%s got %d while greedy got %d", name, served[name], served["greedy"])
			}
		}
		for range 206 {
			d.View().Model("m")[0].Release()
			q.Wake()
			<-granted
		}
	})
}

func TestAbandonedRequestsLeaveNothingBehind(t *testing.T) {
	q := queue.New(clockwork.NewFakeClock())
	none := func() *endpoint.Slot { return nil }
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	for range 3 {
		go func() {
			_, err := q.Acquire(ctx, queue.Request{Workspace: "w", Estimate: 1, Choose: none})
			ended <- err
		}()
	}
	for q.Waiting() < 3 {
		runtime.Gosched()
	}
	cancel()
	for range 3 {
		if err := <-ended; err != context.Canceled {
			t.Errorf("got %v", err)
		}
	}
	if n := q.Waiting(); n != 0 {
		t.Errorf("%d requests still wait", n)
	}
}

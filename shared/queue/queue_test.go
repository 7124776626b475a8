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

const slotsPerEndpoint = 4

// newTestDirectory returns a directory of one endpoint with slotsPerEndpoint slots.
func newTestDirectory() *endpoint.Directory {
	d := endpoint.NewDirectory(endpoint.WithLimits(func(wire.EndpointKindName) int { return slotsPerEndpoint }))
	d.Apply(wire.EndpointStates{Epoch: 1, Endpoints: []wire.EndpointState{{Endpoint: "e", Model: "m", Phase: wire.EndpointPhaseReady}}})
	return d
}

// TestGreedyWorkspaceDoesNotStarveOthers lets one workspace queue ten times as many requests as the others. While the others have
// waiting requests, none may fall behind it by more than the number of requests that can be in service at once.
func TestGreedyWorkspaceDoesNotStarveOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newTestDirectory()
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
			slot *endpoint.Slot
		}
		granted := make(chan grant, 300)
		for _, name := range names {
			for range load[name] {
				go func() {
					if slot, err := q.Acquire(context.Background(), queue.Request{Workspace: name, Estimate: queue.Service(cost), Choose: choose}); err == nil {
						granted <- grant{name, slot}
					}
				}()
			}
		}
		served := map[wire.WorkspaceName]int{}
		for range slotsPerEndpoint {
			served[(<-granted).name]++
		}
		for q.Waiting() < 240-slotsPerEndpoint {
			runtime.Gosched()
		}
		base := served["greedy"]
		for range 30 {
			d.View().Model("m")[0].Release()
			q.Wake()
			served[(<-granted).name]++
		}
		for _, name := range names[1:] {
			if served[name] < (served["greedy"]-base)-slotsPerEndpoint-1 {
				t.Fatalf("%s got %d slots while greedy got %d", name, served[name], served["greedy"])
			}
		}
		for range 206 {
			d.View().Model("m")[0].Release()
			q.Wake()
			<-granted
		}
	})
}

// TestCancelledRequestsLeaveTheQueue checks that requests whose context ends return its error and no longer count as waiting.
func TestCancelledRequestsLeaveTheQueue(t *testing.T) {
	q := queue.New(clockwork.NewFakeClock())
	none := func() *endpoint.Slot { return nil }
	ctx, cancel := context.WithCancel(t.Context())
	results := make(chan error)
	for range 3 {
		go func() {
			_, err := q.Acquire(ctx, queue.Request{Workspace: "w", Estimate: 1, Choose: none})
			results <- err
		}()
	}
	for q.Waiting() < 3 {
		runtime.Gosched()
	}
	cancel()
	for range 3 {
		if err := <-results; err != context.Canceled {
			t.Errorf("Acquire returned %v, want context.Canceled", err)
		}
	}
	if n := q.Waiting(); n != 0 {
		t.Errorf("%d requests still wait", n)
	}
}

package queue_test

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/shared/queue"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

func benchEndpoint(b *testing.B) *endpoint.Endpoint {
	b.Helper()
	directory := endpoint.NewDirectory()
	directory.Apply(wire.EndpointStates{Epoch: 1, Endpoints: []wire.EndpointState{{Endpoint: "e", Model: "model", Phase: wire.EndpointPhaseReady}}})
	return directory.View().Model("model")[0]
}

func benchName(i int) wire.WorkspaceName {
	return wire.WorkspaceName(fmt.Sprintf("workspace-%03d", i))
}

// benchWaiting parks requests that never find a slot, and returns how to end them.
func benchWaiting(q *queue.Queue, workspaces, waiting int) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var parked sync.WaitGroup
	for i := range waiting {
		parked.Go(func() {
			_, _ = q.Acquire(ctx, queue.Request{Workspace: benchName(i % workspaces), Weight: 1, Estimate: 100, Choose: func() *endpoint.Slot { return nil }})
		})
	}
	for q.Waiting() < waiting {
		q.Wake()
	}
	return func() {
		cancel()
		parked.Wait()
	}
}

// BenchmarkAcquire takes and charges a slot in a queue without others: the path of a request that need not wait.
func BenchmarkAcquire(b *testing.B) {
	for _, workspaces := range []int{8, 240} {
		b.Run(fmt.Sprintf("workspaces=%d/waiting=0", workspaces), func(b *testing.B) {
			q := queue.New(clockwork.NewRealClock())
			e := &endpoint.Slot{Endpoint: benchEndpoint(b)}
			for i := range workspaces {
				q.Charge(benchName(i), 1)
			}
			b.ReportAllocs()
			for b.Loop() {
				got, err := q.Acquire(b.Context(), queue.Request{Workspace: benchName(0), Weight: 1, Choose: func() *endpoint.Slot { return e }})
				if err != nil || got != e {
					b.Fatal(err)
				}
				q.Wake()
			}
		})
	}
}

// BenchmarkWake looks at a queue whose head finds no slot, as each release and each tick does.
func BenchmarkWake(b *testing.B) {
	for _, workspaces := range []int{8, 240} {
		for _, waiting := range []int{10, 1000} {
			b.Run(fmt.Sprintf("workspaces=%d/waiting=%d", workspaces, waiting), func(b *testing.B) {
				q := queue.New(clockwork.NewRealClock())
				end := benchWaiting(q, workspaces, waiting)
				defer end()
				b.ReportAllocs()
				for b.Loop() {
					q.Wake()
				}
			})
		}
	}
}

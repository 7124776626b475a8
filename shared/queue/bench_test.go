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

func benchWorkspace(i int) wire.WorkspaceName {
	return wire.WorkspaceName(fmt.Sprintf("workspace-%03d", i))
}

// startWaiters starts requests that wait and never find a slot. It returns a function that cancels them and waits for their end.
func startWaiters(q *queue.Queue, workspaces, waiting int) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var waiters sync.WaitGroup
	for i := range waiting {
		waiters.Go(func() {
			_, _ = q.Acquire(ctx, queue.Request{Workspace: benchWorkspace(i % workspaces), Weight: 1, Estimate: 100, Choose: func() *endpoint.Slot { return nil }})
		})
	}
	for q.Waiting() < waiting {
		q.Wake()
	}
	return func() {
		cancel()
		waiters.Wait()
	}
}

// BenchmarkAcquire takes and charges a slot in a queue without waiting requests: the path of a request that does not have to
// wait.
func BenchmarkAcquire(b *testing.B) {
	for _, workspaces := range []int{8, 240} {
		b.Run(fmt.Sprintf("workspaces=%d/waiting=0", workspaces), func(b *testing.B) {
			q := queue.New(clockwork.NewRealClock())
			slot := &endpoint.Slot{Endpoint: benchEndpoint(b)}
			for i := range workspaces {
				q.Charge(benchWorkspace(i), 1)
			}
			b.ReportAllocs()
			for b.Loop() {
				got, err := q.Acquire(b.Context(), queue.Request{Workspace: benchWorkspace(0), Weight: 1, Choose: func() *endpoint.Slot { return slot }})
				if err != nil || got != slot {
					b.Fatal(err)
				}
				q.Wake()
			}
		})
	}
}

// BenchmarkWake dispatches a queue whose first request finds no slot, as every release and every wake interval does.
func BenchmarkWake(b *testing.B) {
	for _, workspaces := range []int{8, 240} {
		for _, waiting := range []int{10, 1000} {
			b.Run(fmt.Sprintf("workspaces=%d/waiting=%d", workspaces, waiting), func(b *testing.B) {
				q := queue.New(clockwork.NewRealClock())
				end := startWaiters(q, workspaces, waiting)
				defer end()
				b.ReportAllocs()
				for b.Loop() {
					q.Wake()
				}
			})
		}
	}
}

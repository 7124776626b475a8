package endpoint_test

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/wire"
	"pgregory.net/rapid"
)

var epochStart = time.Unix(0, 0)

func ready(ids ...wire.EndpointId) []wire.EndpointState {
	var list []wire.EndpointState
	for _, id := range ids {
		list = append(list, wire.EndpointState{Endpoint: id, Model: "m", Phase: wire.EndpointPhaseReady})
	}
	return list
}

// TestDrainedEndpointGetsNoWork drives a directory against a plain list of what the holders said.
func TestDrainedEndpointGetsNoWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := endpoint.NewDirectory()
		rng := rand.New(rand.NewPCG(1, 2))
		ids := []wire.EndpointId{"a", "b", "c"}
		epoch, sequence := wire.Epoch(1), 0
		drains := map[wire.OrderId]wire.EndpointId{}
		left := map[wire.EndpointId]bool{}
		var held []*endpoint.Slot
		apply := func() {
			sequence++
			d.Apply(wire.EndpointStates{Epoch: epoch, Sequence: sequence, Endpoints: ready(ids...)})
			clear(left)
		}
		apply()
		t.Repeat(map[string]func(*rapid.T){
			"apply": func(*rapid.T) { apply() },
			"stale": func(t *rapid.T) {
				if d.Apply(wire.EndpointStates{Epoch: epoch - 1, Sequence: 1 << 20}) {
					t.Fatal("states of an old epoch were taken")
				}
			},
			"newHolder": func(*rapid.T) {
				epoch++
				sequence = 0
				apply()
				clear(drains)
			},
			"drain": func(t *rapid.T) {
				order := wire.OrderId(rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "order"))
				id := rapid.SampledFrom(ids).Draw(t, "endpoint")
				if old, begun := drains[order]; begun {
					id = old
				}
				n, taken := d.BeginDrain(order, id, epoch)
				if !taken {
					t.Fatal("a drain of the present epoch was not taken")
				}
				drains[order] = id
				if count := inFlight(held, id); n != count {
					t.Fatalf("drain says %d in flight, %d are", n, count)
				}
			},
			"oldDrain": func(t *rapid.T) {
				if _, taken := d.BeginDrain("9", "a", epoch-1); taken {
					t.Fatal("a drain of an old epoch was taken")
				}
			},
			"endDrain": func(t *rapid.T) {
				order := wire.OrderId(rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "order"))
				d.EndDrain(order, epoch)
				delete(drains, order)
			},
			"leave": func(t *rapid.T) {
				id := rapid.SampledFrom(ids).Draw(t, "endpoint")
				d.Leave(id)
				left[id] = true
			},
			"choose": func(t *rapid.T) {
				e := endpoint.Choose(d.View().Model("m"), endpoint.Need{}, epochStart, rng)
				if e == nil {
					return
				}
				id := e.State().Endpoint
				for _, drained := range drains {
					if drained == id {
						t.Fatalf("%s got work while it drains", id)
					}
				}
				if left[id] {
					t.Fatalf("%s got work after it left", id)
				}
				held = append(held, e)
			},
			"release": func(*rapid.T) {
				if len(held) > 0 {
					held[0].Release()
					held = held[1:]
				}
			},
		})
	})
}

func inFlight(held []*endpoint.Slot, id wire.EndpointId) int {
	n := 0
	for _, e := range held {
		if e.State().Endpoint == id {
			n++
		}
	}
	return n
}

// TestDrainSeesEveryRequest races requests against a drain: once a drain has seen no request in flight, none may start.
func TestDrainSeesEveryRequest(t *testing.T) {
	const callers, rounds = 4, 20000
	for round := range rounds {
		d := endpoint.NewDirectory()
		d.Apply(wire.EndpointStates{Epoch: 1, Endpoints: ready("a")})
		list := d.View().Model("m")
		rng := endpoint.NewRandom()
		var began atomic.Int64
		var drained atomic.Bool
		var work sync.WaitGroup
		for range callers {
			work.Go(func() {
				for !drained.Load() {
					if e := endpoint.Choose(list, endpoint.Need{}, epochStart, rng); e != nil {
						began.Add(1)
					}
				}
			})
		}
		seen, _ := d.BeginDrain("1", "a", 1)
		drained.Store(true)
		work.Wait()
		if n := int(began.Load()); n > seen {
			t.Fatalf("round %d: the drain saw %d requests, %d are in flight", round, seen, n)
		}
	}
}

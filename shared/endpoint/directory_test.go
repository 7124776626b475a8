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

// TestDrainedEndpointGetsNoWork compares a directory with a plain model of the drains and departures that lease holders
// announced.
func TestDrainedEndpointGetsNoWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := endpoint.NewDirectory()
		rng := rand.New(rand.NewPCG(1, 2))
		ids := []wire.EndpointId{"a", "b", "c"}
		epoch, sequence := wire.Epoch(1), 0
		drains := map[wire.OrderId]wire.EndpointId{}
		leaving := map[wire.EndpointId]bool{}
		var slots []*endpoint.Slot
		apply := func() {
			sequence++
			d.Apply(wire.EndpointStates{Epoch: epoch, Sequence: sequence, Endpoints: ready(ids...)})
			clear(leaving)
		}
		apply()
		t.Repeat(map[string]func(*rapid.T){
			"apply": func(*rapid.T) { apply() },
			"stale": func(t *rapid.T) {
				if d.Apply(wire.EndpointStates{Epoch: epoch - 1, Sequence: 1 << 20}) {
					t.Fatal("states of an old epoch were applied")
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
				n, accepted := d.BeginDrain(order, id, epoch)
				if !accepted {
					t.Fatal("a drain of the current epoch was rejected")
				}
				drains[order] = id
				if count := inFlight(slots, id); n != count {
					t.Fatalf("BeginDrain returned %d in flight, want %d", n, count)
				}
			},
			"oldDrain": func(t *rapid.T) {
				if _, accepted := d.BeginDrain("9", "a", epoch-1); accepted {
					t.Fatal("a drain of an old epoch was accepted")
				}
			},
			"endDrain": func(t *rapid.T) {
				order := wire.OrderId(rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "order"))
				d.EndDrain(order, epoch)
				delete(drains, order)
			},
			"leave": func(t *rapid.T) {
				id := rapid.SampledFrom(ids).Draw(t, "endpoint")
				d.MarkLeaving(id)
				leaving[id] = true
			},
			"choose": func(t *rapid.T) {
				s := endpoint.Choose(d.View().Model("m"), endpoint.Need{}, epochStart, rng)
				if s == nil {
					return
				}
				id := s.State().Endpoint
				for _, drained := range drains {
					if drained == id {
						t.Fatalf("%s got a request while it drains", id)
					}
				}
				if leaving[id] {
					t.Fatalf("%s got a request after it was marked as leaving", id)
				}
				slots = append(slots, s)
			},
			"release": func(*rapid.T) {
				if len(slots) > 0 {
					slots[0].Release()
					slots = slots[1:]
				}
			},
		})
	})
}

func inFlight(slots []*endpoint.Slot, id wire.EndpointId) int {
	n := 0
	for _, s := range slots {
		if s.State().Endpoint == id {
			n++
		}
	}
	return n
}

// TestDrainCountsEveryInFlightRequest races requests against a drain: no request may start that BeginDrain did not count.
func TestDrainCountsEveryInFlightRequest(t *testing.T) {
	const callers, rounds = 4, 20000
	for round := range rounds {
		d := endpoint.NewDirectory()
		d.Apply(wire.EndpointStates{Epoch: 1, Endpoints: ready("a")})
		list := d.View().Model("m")
		rng := endpoint.NewRandom()
		var started atomic.Int64
		var drained atomic.Bool
		var wg sync.WaitGroup
		for range callers {
			wg.Go(func() {
				for !drained.Load() {
					if s := endpoint.Choose(list, endpoint.Need{}, epochStart, rng); s != nil {
						started.Add(1)
					}
				}
			})
		}
		counted, _ := d.BeginDrain("1", "a", 1)
		drained.Store(true)
		wg.Wait()
		if n := int(started.Load()); n > counted {
			t.Fatalf("round %d: the drain counted %d requests, %d are in flight", round, counted, n)
		}
	}
}

// TestChangeOfReadyEndpointLeavesNoGap guards against refused requests while newer states are applied in which another endpoint is ready
// than before. A reader must find a usable endpoint at each moment, whichever of the two is listed first, and also if it is new.
func TestChangeOfReadyEndpointLeavesNoGap(t *testing.T) {
	loading := func(id wire.EndpointId) wire.EndpointState {
		return wire.EndpointState{Endpoint: id, Model: "m", Phase: wire.EndpointPhaseLoading}
	}
	a, b := ready("a")[0], ready("b")[0]
	for name, states := range map[string][2][]wire.EndpointState{
		"first becomes ready":  {{loading("a"), b}, {a, loading("b")}},
		"second becomes ready": {{a, loading("b")}, {loading("a"), b}},
		"ready one is new":     {{a}, {loading("a"), b}},
	} {
		t.Run(name, func(t *testing.T) {
			var d *endpoint.Directory
			applied := false
			// The directory asks for the limit of each endpoint while it applies states.
			d = endpoint.NewDirectory(endpoint.WithLimits(func(wire.EndpointKindName) int {
				if applied && endpoint.CountEligible(d.View().Model("m"), endpoint.Need{}) == 0 {
					t.Error("no endpoint is usable while states are applied")
				}
				return 1
			}))
			d.Apply(wire.EndpointStates{Epoch: 1, Sequence: 1, Endpoints: states[0]})
			applied = true
			d.Apply(wire.EndpointStates{Epoch: 1, Sequence: 2, Endpoints: states[1]})
			if n := endpoint.CountEligible(d.View().Model("m"), endpoint.Need{}); n != 1 {
				t.Errorf("%d endpoints are usable afterwards, want 1", n)
			}
		})
	}
}

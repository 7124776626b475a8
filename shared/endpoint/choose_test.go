package endpoint

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cowslipshunt.example/shared/piece"
	"cowslipshunt.example/wire"
	"pgregory.net/rapid"
)

// fleetOf lists endpoints with a limit each; about a third are cheap.
func fleetOf(n, limit int) (*Directory, []*Endpoint) {
	d := NewDirectory(WithLimits(func(wire.EndpointKindName) int { return limit }))
	var states []wire.EndpointState
	for i := range n {
		id := wire.EndpointId(fmt.Sprint(i))
		states = append(states, wire.EndpointState{Endpoint: id, Model: "m", Phase: wire.EndpointPhaseReady, Cheap: i%3 == 0})
	}
	d.Apply(wire.EndpointStates{Epoch: 1, Endpoints: states})
	return d, d.View().Model("m")
}

// prompt draws one of a few growing conversations.
func prompt(t *rapid.T) Prompt {
	p := Prompt{KeyTokens: 256}
	conversation := rapid.IntRange(1, 20).Draw(t, "conversation")
	for i := range rapid.IntRange(0, 600).Draw(t, "blocks") {
		p.Keys = append(p.Keys, piece.Key(conversation<<32|i))
	}
	p.Tokens = len(p.Keys)*p.KeyTokens + 1
	return p
}

// hasPrefillRoom is the oracle's reading of the bound: any prompt goes where nothing is waited for.
func hasPrefillRoom(e *Endpoint, p Prompt) bool {
	waited := int(e.prefill.Load())
	return waited == 0 || waited+p.left(e.memory.match(p.Keys)) <= maxPrefill
}

// TestChooseLeavesNoRoomUnused holds choices to a count of what is taken: none beyond a limit, and none refused while a
// suited endpoint has room. What is remembered and the prefill that is waited for stay bounded.
func TestChooseLeavesNoRoomUnused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 3).Draw(t, "limit")
		_, list := fleetOf(rapid.IntRange(1, 30).Draw(t, "endpoints"), limit)
		rng := rand.New(rand.NewPCG(1, 1))
		now := time.Unix(0, 0)
		var held []*Slot
		t.Repeat(map[string]func(*rapid.T){
			"choose": func(t *rapid.T) {
				need := Need{Steady: rapid.Bool().Draw(t, "steady"), Prompt: prompt(t)}
				free := slices.ContainsFunc(list, func(e *Endpoint) bool {
					return suits(e, need) && !e.paused(now) && e.InFlight() < int(e.room()) && hasPrefillRoom(e, need.Prompt)
				})
				s := Choose(list, need, now, rng)
				if (s != nil) != free {
					t.Fatalf("got %v while free is %v", s, free)
				}
				if s == nil {
					return
				}
				if need.Steady && s.State().Cheap || s.InFlight() > limit {
					t.Fatalf("%v with %d in flight does not suit", s.State(), s.InFlight())
				}
				held = append(held, s)
			},
			"start": func(*rapid.T) {
				if len(held) > 0 {
					held[0].Started()
				}
			},
			"fail": func(*rapid.T) {
				if len(held) > 0 {
					held[0].Failed(now)
				}
			},
			"later": func(*rapid.T) { now = now.Add(pauseAtFirst) },
			"release": func(*rapid.T) {
				if len(held) > 0 {
					held[0].Release()
					held = held[1:]
				}
			},
			"": func(t *rapid.T) {
				for _, e := range list {
					if n := e.memory.size(); n > 2*rememberedKeys {
						t.Fatalf("%d keys are remembered", n)
					}
					if e.InFlight() == 0 && e.prefill.Load() != 0 {
						t.Fatalf("%d tokens are waited for with nothing in flight", e.prefill.Load())
					}
				}
			},
		})
	})
}

// TestConversationStaysWhereItIsCached sends a growing prompt to an idle fleet and demands one endpoint for all turns, the
// same in every entry.
func TestConversationStaysWhereItIsCached(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "endpoints")
		_, here := fleetOf(n, 1)
		_, there := fleetOf(n, 1)
		rng := rand.New(rand.NewPCG(1, 1))
		p := prompt(t)
		if len(p.Keys) < anchorKeys {
			return
		}
		var home wire.EndpointId
		for turns := anchorKeys; turns <= len(p.Keys); turns += 50 {
			part := Prompt{Tokens: turns * p.KeyTokens, Keys: p.Keys[:turns], KeyTokens: p.KeyTokens}
			for _, list := range [][]*Endpoint{here, there} {
				s := Choose(list, Need{Prompt: part}, time.Unix(0, 0), rng)
				if id := s.State().Endpoint; home == "" {
					home = id
				} else if id != home {
					t.Fatalf("went from %s to %s", home, id)
				}
				s.Release()
			}
		}
	})
}

// TestFailedEndpointIsLeftAloneThenProbed demands that a failed endpoint gets nothing in its pause, then one request, and
// its share again once that was answered. Requests that failed together count once.
func TestFailedEndpointIsLeftAloneThenProbed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_, list := fleetOf(1, 4)
		now := time.Unix(0, 0)
		rng := rand.New(rand.NewPCG(1, 1))
		for round := range rapid.IntRange(1, 10).Draw(t, "rounds") {
			for range 3 {
				list[0].Failed(now)
			}
			pause := min(pauseAtFirst<<min(round, maxDoublings), pauseAtMost)
			if Choose(list, Need{}, now.Add(pause-1), rng) != nil {
				t.Fatal("it got work in its pause")
			}
			now = now.Add(pause)
			probe := Choose(list, Need{}, now, rng)
			if probe == nil || Choose(list, Need{}, now, rng) != nil {
				t.Fatal("it did not get just one request behind its pause")
			}
			probe.Release()
		}
		probe := Choose(list, Need{}, now, rng)
		probe.Started()
		if Choose(list, Need{}, now, rng) == nil {
			t.Fatal("it got no second request after it had answered")
		}
	})
}

func BenchmarkChoose(b *testing.B) {
	_, list := fleetOf(12, 16)
	rng := NewRandom()
	p := Prompt{Tokens: 8192, KeyTokens: 256}
	for i := range 32 {
		p.Keys = append(p.Keys, piece.Key(i))
	}
	b.ReportAllocs()
	for b.Loop() {
		Choose(list, Need{Prompt: p}, time.Unix(0, 0), rng).Release()
	}
}

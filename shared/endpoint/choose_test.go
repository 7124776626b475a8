package endpoint

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cowslipshunt.example/shared/promptblock"
	"cowslipshunt.example/wire"
	"pgregory.net/rapid"
)

// newTestEndpoints returns a directory and its n endpoints with a limit of requests each; about a third are cheap.
func newTestEndpoints(n, limit int) (*Directory, []*Endpoint) {
	d := NewDirectory(WithLimits(func(wire.EndpointKindName) int { return limit }))
	var states []wire.EndpointState
	for i := range n {
		id := wire.EndpointId(fmt.Sprint(i))
		states = append(states, wire.EndpointState{Endpoint: id, Model: "m", Phase: wire.EndpointPhaseReady, Cheap: i%3 == 0})
	}
	d.Apply(wire.EndpointStates{Epoch: 1, Endpoints: states})
	return d, d.View().Model("m")
}

// drawPrompt draws a prompt from one of 20 conversations, with a random number of blocks.
func drawPrompt(t *rapid.T) Prompt {
	p := Prompt{KeyTokens: 256}
	conversation := rapid.IntRange(1, 20).Draw(t, "conversation")
	for i := range rapid.IntRange(0, 600).Draw(t, "blocks") {
		p.Keys = append(p.Keys, promptblock.Key(conversation<<32|i))
	}
	p.Tokens = len(p.Keys)*p.KeyTokens + 1
	return p
}

// wantAdmitted states the bound on pending prefill independently of the code under test: an endpoint without pending prefill
// admits every prompt.
func wantAdmitted(e *Endpoint, p Prompt) bool {
	pending := int(e.pendingPrefill.Load())
	return pending == 0 || pending+p.tokensToPrefill(e.cache.matchPrefix(p.Keys)) <= maxPendingPrefill
}

// TestChooseFindsEveryFreeSlot compares Choose with a count of the slots taken: no slot beyond an endpoint's limit, and a slot
// whenever an eligible endpoint has room. Cache estimates stay bounded, and an endpoint with nothing in flight has no pending
// prefill.
func TestChooseFindsEveryFreeSlot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 3).Draw(t, "limit")
		_, list := newTestEndpoints(rapid.IntRange(1, 30).Draw(t, "endpoints"), limit)
		rng := rand.New(rand.NewPCG(1, 1))
		now := time.Unix(0, 0)
		var slots []*Slot
		t.Repeat(map[string]func(*rapid.T){
			"choose": func(t *rapid.T) {
				need := Need{ExcludeCheap: rapid.Bool().Draw(t, "steady"), Prompt: drawPrompt(t)}
				free := slices.ContainsFunc(list, func(e *Endpoint) bool {
					return isEligible(e, need) && !e.paused(now) && e.InFlight() < int(e.maxInFlight()) && wantAdmitted(e, need.Prompt)
				})
				s := Choose(list, need, now, rng)
				if (s != nil) != free {
					t.Fatalf("Choose returned %v, want a slot: %v", s, free)
				}
				if s == nil {
					return
				}
				if need.ExcludeCheap && s.State().Cheap || s.InFlight() > limit {
					t.Fatalf("chose %v with %d in flight, which is not eligible or over its limit", s.State(), s.InFlight())
				}
				slots = append(slots, s)
			},
			"start": func(*rapid.T) {
				if len(slots) > 0 {
					slots[0].RecordStart()
				}
			},
			"fail": func(*rapid.T) {
				if len(slots) > 0 {
					slots[0].RecordFailure(now)
				}
			},
			"later": func(*rapid.T) { now = now.Add(initialPause) },
			"release": func(*rapid.T) {
				if len(slots) > 0 {
					slots[0].Release()
					slots = slots[1:]
				}
			},
			"": func(t *rapid.T) {
				for _, e := range list {
					if n := e.cache.size(); n > 2*generationKeys {
						t.Fatalf("a cache estimate holds %d keys", n)
					}
					if e.InFlight() == 0 && e.pendingPrefill.Load() != 0 {
						t.Fatalf("%d tokens of prefill are pending with nothing in flight", e.pendingPrefill.Load())
					}
				}
			},
		})
	})
}

// TestConversationStaysOnCachingEndpoint sends the turns of a growing prompt to idle endpoints from two entries. All turns must
// go to the same endpoint in both entries.
func TestConversationStaysOnCachingEndpoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "endpoints")
		_, entryA := newTestEndpoints(n, 1)
		_, entryB := newTestEndpoints(n, 1)
		rng := rand.New(rand.NewPCG(1, 1))
		p := drawPrompt(t)
		if len(p.Keys) < conversationBlocks {
			return
		}
		var first wire.EndpointId
		for blocks := conversationBlocks; blocks <= len(p.Keys); blocks += 50 {
			part := Prompt{Tokens: blocks * p.KeyTokens, Keys: p.Keys[:blocks], KeyTokens: p.KeyTokens}
			for _, list := range [][]*Endpoint{entryA, entryB} {
				s := Choose(list, Need{Prompt: part}, time.Unix(0, 0), rng)
				if id := s.State().Endpoint; first == "" {
					first = id
				} else if id != first {
					t.Fatalf("the conversation moved from %s to %s", first, id)
				}
				s.Release()
			}
		}
	})
}

// TestFailedEndpointIsPausedThenProbed checks that a failed endpoint gets no request during its pause, then one as a probe, and
// more once the probe is answered. Requests that fail at the same time count as one failure.
func TestFailedEndpointIsPausedThenProbed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_, list := newTestEndpoints(1, 4)
		now := time.Unix(0, 0)
		rng := rand.New(rand.NewPCG(1, 1))
		for round := range rapid.IntRange(1, 10).Draw(t, "rounds") {
			for range 3 {
				list[0].RecordFailure(now)
			}
			pause := min(initialPause<<min(round, maxPauseDoublings), maxPause)
			if Choose(list, Need{}, now.Add(pause-1), rng) != nil {
				t.Fatal("the endpoint got a request during its pause")
			}
			now = now.Add(pause)
			probe := Choose(list, Need{}, now, rng)
			if probe == nil || Choose(list, Need{}, now, rng) != nil {
				t.Fatal("the endpoint did not get exactly one request after its pause")
			}
			probe.Release()
		}
		probe := Choose(list, Need{}, now, rng)
		probe.RecordStart()
		if Choose(list, Need{}, now, rng) == nil {
			t.Fatal("the endpoint got no second request after it answered the probe")
		}
	})
}

func BenchmarkChoose(b *testing.B) {
	_, list := newTestEndpoints(12, 16)
	rng := NewRandom()
	p := Prompt{Tokens: 8192, KeyTokens: 256}
	for i := range 32 {
		p.Keys = append(p.Keys, promptblock.Key(i))
	}
	b.ReportAllocs()
	for b.Loop() {
		Choose(list, Need{Prompt: p}, time.Unix(0, 0), rng).Release()
	}
}

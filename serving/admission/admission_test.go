package admission_test

import (
	"fmt"
	"testing"
	"time"

	"cowslipshunt.example/serving/admission"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func ExampleRequest_EngineRank() {
	r := admission.Request{Arrived: start, Goal: 500 * time.Millisecond, Patience: 2 * time.Second, Rank: 1}
	fmt.Println(r.EngineRank(start, 100*time.Millisecond), r.EngineRank(start, time.Second))
	// Output: 2 3
}

// TestHopelessRequestsAreRefused guards against prompts that are prefilled although their callers have given up by then, against refusals that
// have another cause than the backlog, and against callers that are told to return at once.
func TestHopelessRequestsAreRefused(t *testing.T) {
	r := admission.Request{Arrived: start, Goal: 500 * time.Millisecond, Patience: 2 * time.Second}
	cases := map[string]struct {
		age, expected, wait time.Duration
		want                bool
	}{
		"in time":                     {expected: 1300 * time.Millisecond, wait: time.Second},
		"too late":                    {expected: 1500 * time.Millisecond, wait: time.Second, want: true},
		"too late by its age":         {age: time.Second, expected: 500 * time.Millisecond, wait: 300 * time.Millisecond, want: true},
		"long prompt, idle engine":    {expected: 1900 * time.Millisecond},
		"long prompt, little to wait": {expected: 1900 * time.Millisecond, wait: 150 * time.Millisecond},
	}
	for name, c := range cases {
		after, hopeless := r.Hopeless(start.Add(c.age), c.expected, c.wait)
		if hopeless != c.want || hopeless && after < 250*time.Millisecond {
			t.Errorf("%s: hopeless is %v, return after %v", name, hopeless, after)
		}
	}
}

// TestOverflowMeetsTheObjective guards against decode engines that take over more than they can prefill in time, which delays the streams that
// they decode and helps no caller.
func TestOverflowMeetsTheObjective(t *testing.T) {
	r := admission.Request{Arrived: start, Goal: 600 * time.Millisecond, Patience: 2400 * time.Millisecond}
	cases := map[string]struct {
		prefill, decode time.Duration
		want            bool
	}{
		"idle prefill engine":      {prefill: 200 * time.Millisecond, decode: 150 * time.Millisecond},
		"backlog":                  {prefill: 900 * time.Millisecond, decode: 400 * time.Millisecond, want: true},
		"backlog at both":          {prefill: 2 * time.Second, decode: time.Second},
		"no more than the margin":  {prefill: 500 * time.Millisecond, decode: 450 * time.Millisecond},
		"prefill engine is sooner": {prefill: 100 * time.Millisecond, decode: 300 * time.Millisecond},
	}
	for name, c := range cases {
		if got := r.Overflows(start, c.prefill, c.decode); got != c.want {
			t.Errorf("%s: overflows is %v, want %v", name, got, c.want)
		}
	}
}

// TestEngineRanksKeepTheOrderOfRanks guards against a request that goes before one of a more urgent rank, and against ranks that engines do not
// know, whatever is expected of the requests.
func TestEngineRanksKeepTheOrderOfRanks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) (int, int) {
			r := admission.Request{
				Arrived: start, Goal: time.Duration(rapid.IntRange(0, 5000).Draw(t, name+" goal")) * time.Millisecond,
				Rank: rapid.IntRange(0, 20).Draw(t, name+" rank"),
			}
			return r.Rank, r.EngineRank(start, time.Duration(rapid.IntRange(0, 10000).Draw(t, name+" expected"))*time.Millisecond)
		}
		rank, engine := draw("one")
		otherRank, otherEngine := draw("other")
		if engine < 0 || engine > 9 {
			t.Fatalf("rank %d became %d at the engine", rank, engine)
		}
		if rank < otherRank && engine > otherEngine {
			t.Fatalf("rank %d became %d, and rank %d %d", rank, engine, otherRank, otherEngine)
		}
	})
}

// BenchmarkDecisions measures the decisions on one request.
func BenchmarkDecisions(b *testing.B) {
	r := admission.Request{Arrived: start, Goal: 500 * time.Millisecond, Patience: 2 * time.Second, Rank: 1}
	b.ReportAllocs()
	for b.Loop() {
		r.Overflows(start, time.Second, 300*time.Millisecond)
		r.Hopeless(start, time.Second, 500*time.Millisecond)
		r.EngineRank(start, time.Second)
	}
}

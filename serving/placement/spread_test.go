package placement_test

import (
	"testing"
	"time"

	"cowslipshunt.example/serving/placement"
	"cowslipshunt.example/serving/roster"
	"pgregory.net/rapid"
)

// TestContendedChoicePrefersFasterEngine checks that an engine that is known to be slow gets a prompt later than a fast one.
func TestContendedChoicePrefersFasterEngine(t *testing.T) {
	list := engines(2, roster.Prefill, "a")
	for range 10 {
		placement.ObservePrefill(list[0], 0, 5110, 400*time.Millisecond, "a", now)
		placement.ObservePrefill(list[1], 0, 5110, 50*time.Millisecond, "a", now)
	}
	if slow, fast := list[0].Speed(now), list[1].Speed(now); slow > 0.3 || fast < 1.9 {
		t.Fatalf("learned the speeds %v and %v, want about 0.25 and 2", slow, fast)
	}
	p := prompt("x", 0, 10000)
	if slow, fast := placement.PrefillTime(list[0], &p, now), placement.PrefillTime(list[1], &p, now); slow < 6*fast {
		t.Errorf("the prefill times are %v and %v", slow, fast)
	}
	for tieBreak := range uint64(20) {
		e := placement.ChoosePrefill(list, &p, placement.Need{Stage: roster.Prefill, Near: "a", Contended: true, TieBreak: tieBreak}, now)
		if e != list[1] {
			t.Fatalf("chose the slow engine with the tie-break %d", tieBreak)
		}
	}
}

// TestOtherServicesKeepNominalSpeed guards against services that are not contended and are placed by speeds that were learned before a change of
// the configuration, or by a peer with another one.
func TestOtherServicesKeepNominalSpeed(t *testing.T) {
	list := engines(2, roster.Prefill, "a")
	p := prompt("x", 10000, 1000)
	need := placement.Need{Stage: roster.Prefill, Near: "a"}
	first := placement.ChoosePrefill(list, &p, need, now)
	before := placement.NominalPrefillTime(first, &p, now)
	for range 10 {
		first.ObserveSpeed(0.125, now)
	}
	if e := placement.ChoosePrefill(list, &p, need, now); e != first {
		t.Error("a learned speed moved the prompt to another engine")
	}
	if after := placement.NominalPrefillTime(first, &p, now); after != before {
		t.Errorf("the prefill time is %v, before the speed was learned %v", after, before)
	}
	if costs := placement.Costs(list, &p, need, now); costs[0].Endpoint != first || costs[0].Prefill != before {
		t.Errorf("the costs begin with %+v, want a prefill time of %v", costs[0], before)
	}
}

// TestPrefillsThatSayLittleAreIgnored guards against speeds learned from short prompts, or from a queue that is mostly an old estimate.
func TestPrefillsThatSayLittleAreIgnored(t *testing.T) {
	e := engines(1, roster.Prefill, "a")[0]
	for range 20 {
		placement.ObservePrefill(e, 0, 999, time.Second, "a", now)
		placement.ObservePrefill(e, 5001, 10000, time.Second, "a", now)
		placement.ObservePrefill(e, 0, 10000, 0, "a", now)
	}
	if e.Speed(now) != 1 {
		t.Errorf("learned the speed %v", e.Speed(now))
	}
}

// TestPopularPrefixGetsMoreEngines guards against a service whose prompts all share one prefix and use the first engines in its order only.
func TestPopularPrefixGetsMoreEngines(t *testing.T) {
	list := engines(40, roster.Prefill, "a")
	p := prompt("x", 10000, 1000)
	used := map[*roster.Endpoint]bool{}
	for tieBreak := range uint64(2000) {
		e := placement.ChoosePrefill(list, &p, placement.Need{Stage: roster.Prefill, Near: "a", Contended: true, TieBreak: tieBreak}, now)
		e.RecordParts(p.SharedIDs(), now)
		e.Begin(1000)
		used[e] = true
	}
	if len(used) < 30 {
		t.Errorf("2000 prompts of one prefix went to %d of %d engines", len(used), len(list))
	}
}

// TestContendedChoiceReturnsEligibleEngine checks prompts of any shape, among them those without parts and with negative lengths.
func TestContendedChoiceReturnsEligibleEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := engines(rapid.IntRange(0, 12).Draw(t, "engines"), roster.Prefill, "a", "b")
		for _, e := range list {
			e.SetPeerLoad(rapid.IntRange(0, 1<<40).Draw(t, "load"), rapid.IntRange(0, 100).Draw(t, "in flight"))
		}
		var parts []placement.Part
		for range rapid.IntRange(0, 3).Draw(t, "parts") {
			parts = append(parts, placement.Part{Name: "p", Tokens: rapid.Int().Draw(t, "tokens")})
		}
		p := placement.NewPrompt(rapid.Int().Draw(t, "prompt"), 1, parts)
		need := placement.Need{Near: "a", Contended: true, TieBreak: rapid.Uint64().Draw(t, "tie-break")}
		e := placement.ChoosePrefill(list, &p, need, now)
		d := placement.ChooseDecodeNearSource(list, &p, need, "b", now)
		if (e == nil || d == nil) != (len(list) == 0) {
			t.Fatalf("chose %v and %v of %d engines", e, d, len(list))
		}
	})
}

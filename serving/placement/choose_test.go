package placement_test

import (
	"fmt"
	"testing"
	"time"

	"cowslipshunt.example/serving/placement"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
	"pgregory.net/rapid"
)

var now = time.Unix(1e9, 0)

// engines returns n engines of a stage in each of the failure domains.
func engines(n int, stage roster.Stage, domains ...wire.DomainName) []*roster.Endpoint {
	d := roster.NewDirectory()
	for _, domain := range domains {
		for i := range n {
			id := wire.EndpointId(fmt.Sprintf("%s-%v-%d", domain, stage, i))
			d.Put(roster.Entry{Key: roster.Key{ID: id, Born: 1}, Service: "s", Domain: domain, Stage: stage, Slots: 64})
		}
	}
	return d.View().Service("s")
}

// prompt returns a prompt of a shared part of the given name and a part of its own, with their lengths in tokens.
func prompt(name string, shared, own int) placement.Prompt {
	return placement.NewPrompt(shared+own, 100, []placement.Part{{Name: name, Tokens: shared}, {Name: "own", Tokens: own}})
}

func ExampleNewPrompt() {
	p := placement.NewPrompt(1460, 80, []placement.Part{{Name: "a", Tokens: 800}, {Name: "b", Tokens: 410}, {Name: "c", Tokens: 250}})
	fmt.Println(p.UncachedTokens(0), p.UncachedTokens(2), len(p.SharedIDs()))
	// Output: 1460 250 2
}

func TestPartIDDependsOnPrecedingParts(t *testing.T) {
	a := placement.NewPrompt(2, 1, []placement.Part{{Name: "x", Tokens: 1}, {Name: "y", Tokens: 1}})
	b := placement.NewPrompt(2, 1, []placement.Part{{Name: "z", Tokens: 1}, {Name: "y", Tokens: 1}})
	c := placement.NewPrompt(3, 1, []placement.Part{{Name: "x", Tokens: 1}, {Name: "y", Tokens: 1}, {Name: "w", Tokens: 1}})
	if a.IDs[1] == b.IDs[1] || a.IDs[1] != c.IDs[1] {
		t.Error("the id of a part is not determined by the part and those before it")
	}
}

func TestEligibleExcludesUnsuitableEndpoints(t *testing.T) {
	d := roster.NewDirectory()
	put := func(id string, change func(e *roster.Entry)) {
		e := roster.Entry{Key: roster.Key{ID: wire.EndpointId(id), Born: 1}, Service: "s", Domain: "a", Slots: 1}
		change(&e)
		d.Put(e)
	}
	put("good", func(*roster.Entry) {})
	put("leaving", func(e *roster.Entry) { e.Leaving = true })
	put("spot", func(e *roster.Entry) { e.Spot = true })
	put("stage", func(e *roster.Entry) { e.Stage = roster.Decode })
	put("tried", func(*roster.Entry) {})
	put("failed", func(*roster.Entry) {})
	d.View().All()["failed"].MarkFailed(now)
	need := placement.Need{Near: "a", OnDemandOnly: true, Excluded: []wire.EndpointId{"tried"}}
	eligible := placement.Eligible(d.View().Service("s"), need, now)
	if len(eligible) != 1 || eligible[0].Entry().ID != "good" {
		t.Errorf("%d endpoints are eligible, want only the good one", len(eligible))
	}
}

func TestLeastBusyPrefersItsDomainUntilItIsLoaded(t *testing.T) {
	list := engines(1, roster.NoStage, "a", "b")
	need := placement.Need{Near: "a"}
	var domains []wire.DomainName
	for range 5 {
		e := placement.LeastBusy(list, need, 1)
		e.Begin(0)
		domains = append(domains, e.Entry().Domain)
	}
	if domains[0] != "a" || domains[1] != "a" || domains[4] == domains[3] {
		t.Errorf("requests went to the domains %v", domains)
	}
	if placement.LeastBusy(nil, need, 1) != nil {
		t.Error("an endpoint was chosen from an empty list")
	}
}

// TestInstancesChooseTheSameEngine checks that instances with the same data choose the same engine, whatever the order of their
// lists.
func TestInstancesChooseTheSameEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := engines(rapid.IntRange(1, 6).Draw(t, "engines"), roster.Prefill, "a", "b", "c")
		p := prompt(rapid.StringMatching(`[a-f]{1,4}`).Draw(t, "part"), 13300, 3720)
		for _, e := range list {
			e.SetPeerLoad(rapid.IntRange(0, 20000).Draw(t, "load"), 0)
		}
		reordered := rapid.Permutation(list).Draw(t, "order")
		need := placement.Need{Stage: roster.Prefill, Near: "a"}
		a := placement.ChoosePrefill(list, &p, need, now)
		b := placement.ChoosePrefill(reordered, &p, need, now)
		if a != b || placement.PrefillTime(a, &p, now) <= 0 {
			t.Fatalf("one instance chose %s, another %s", a.Entry().ID, b.Entry().ID)
		}
	})
}

func TestChoosePrefillPrefersCachedPromptUntilEngineIsBusy(t *testing.T) {
	list := engines(4, roster.Prefill, "a")
	p := prompt("x", 13300, 1000)
	need := placement.Need{Stage: roster.Prefill, Near: "a"}
	first := placement.ChoosePrefill(list, &p, need, now)
	cold := placement.PrefillTime(first, &p, now)
	first.RecordParts(p.SharedIDs(), now)
	again := placement.ChoosePrefill(list, &p, need, now)
	warm := placement.PrefillTime(again, &p, now)
	if again != first || warm >= cold/2 {
		t.Errorf("chose %s with a prefill time of %v after %s with %v", again.Entry().ID, warm, first.Entry().ID, cold)
	}
	first.SetPeerLoad(60000, 5)
	if placement.ChoosePrefill(list, &p, need, now) == first {
		t.Error("chose an engine with 60000 queued tokens for a cached part of 13300")
	}
}

func TestChooseDecodeNearCacheStaysInTheCachesDomain(t *testing.T) {
	list := engines(2, roster.Decode, "a", "b")
	p := prompt("x", 100, 100)
	for range 4 {
		e := placement.ChooseDecodeNearCache(list, &p, "b")
		if e.Entry().Domain != "b" {
			t.Fatalf("chose an engine in domain %s, the cache is in b", e.Entry().Domain)
		}
		e.Begin(0)
	}
	if e := placement.ChooseDecodeNearCache(list[:2], &p, "b"); e == nil || e.Entry().Domain != "a" {
		t.Error("no engine of another domain was chosen though the cache's domain has none")
	}
}

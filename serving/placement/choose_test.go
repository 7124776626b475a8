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

// engines lists n engines of a stage in each failure domain.
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

func prompt(name string, shared, own int) placement.Prompt {
	return placement.NewPrompt(shared+own, 100, []placement.Part{{Name: name, Tokens: shared}, {Name: "own", Tokens: own}})
}

func ExampleNewPrompt() {
	p := placement.NewPrompt(1460, 80, []placement.Part{{Name: "a", Tokens: 800}, {Name: "b", Tokens: 410}, {Name: "c", Tokens: 250}})
	fmt.Println(p.Unread(0), p.Unread(2), len(p.Shared()))
	// Output: 1460 250 2
}

func TestPartsAreTheSameOnlyAfterTheSameParts(t *testing.T) {
	a := placement.NewPrompt(2, 1, []placement.Part{{Name: "x", Tokens: 1}, {Name: "y", Tokens: 1}})
	b := placement.NewPrompt(2, 1, []placement.Part{{Name: "z", Tokens: 1}, {Name: "y", Tokens: 1}})
	c := placement.NewPrompt(3, 1, []placement.Part{{Name: "x", Tokens: 1}, {Name: "y", Tokens: 1}, {Name: "w", Tokens: 1}})
	if a.IDs[1] == b.IDs[1] || a.IDs[1] != c.IDs[1] {
		t.Error("a part's identity does not go by the parts before it")
	}
}

func TestSuitedLeavesOutWhatMayNotTakeARequest(t *testing.T) {
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
	d.View().All()["failed"].Failed(now)
	need := placement.Need{Near: "a", Steady: true, Not: []wire.EndpointId{"tried"}}
	suited := placement.Suited(d.View().Service("s"), need, now)
	if len(suited) != 1 || suited[0].Entry().ID != "good" {
		t.Errorf("%d endpoints suit", len(suited))
	}
}

func TestLeastBusyStaysInItsDomainUntilThatCosts(t *testing.T) {
	list := engines(1, roster.NoStage, "a", "b")
	need := placement.Need{Near: "a"}
	var at []wire.DomainName
	for range 5 {
		e := placement.LeastBusy(list, need, 1)
		e.Begin(0)
		at = append(at, e.Entry().Domain)
	}
	if at[0] != "a" || at[1] != "a" || at[4] == at[3] {
		t.Errorf("requests went to %v", at)
	}
	if placement.LeastBusy(nil, need, 1) != nil {
		t.Error("an endpoint was found among none")
	}
}

// TestInstancesPlaceAlike holds that instances which know the same choose the same engine, whatever the order of their lists.
func TestInstancesPlaceAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := engines(rapid.IntRange(1, 6).Draw(t, "engines"), roster.Prefill, "a", "b", "c")
		p := prompt(rapid.StringMatching(`[a-f]{1,4}`).Draw(t, "part"), 13300, 3720)
		for _, e := range list {
			e.SetPeers(rapid.IntRange(0, 20000).Draw(t, "load"), 0)
		}
		other := rapid.Permutation(list).Draw(t, "order")
		need := placement.Need{Stage: roster.Prefill, Near: "a"}
		a := placement.Reader(list, &p, need, now)
		b := placement.Reader(other, &p, need, now)
		if a != b || placement.ReadTime(a, &p, now) <= 0 {
			t.Fatalf("one chose %s, another %s", a.Entry().ID, b.Entry().ID)
		}
	})
}

func TestReaderPrefersWhereThePromptIsKeptUntilThatIsBusy(t *testing.T) {
	list := engines(4, roster.Prefill, "a")
	p := prompt("x", 13300, 1000)
	need := placement.Need{Stage: roster.Prefill, Near: "a"}
	first := placement.Reader(list, &p, need, now)
	cold := placement.ReadTime(first, &p, now)
	first.Learn(p.Shared(), now)
	again := placement.Reader(list, &p, need, now)
	warm := placement.ReadTime(again, &p, now)
	if again != first || warm >= cold/2 {
		t.Errorf("went to %s in %v after %s in %v", again.Entry().ID, warm, first.Entry().ID, cold)
	}
	first.SetPeers(60000, 5)
	if placement.Reader(list, &p, need, now) == first {
		t.Error("waited behind 60000 tokens for a part of 13300")
	}
}

func TestTakerStaysWhereTheCacheIs(t *testing.T) {
	list := engines(2, roster.Decode, "a", "b")
	p := prompt("x", 100, 100)
	for range 4 {
		e := placement.Taker(list, &p, "b")
		if e.Entry().Domain != "b" {
			t.Fatalf("went to %s", e.Entry().Domain)
		}
		e.Begin(0)
	}
	if e := placement.Taker(list[:2], &p, "b"); e == nil || e.Entry().Domain != "a" {
		t.Error("no engine was found where the cache's domain has none")
	}
}

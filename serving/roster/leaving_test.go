package roster_test

import (
	"fmt"
	"testing"
	"time"

	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
	"pgregory.net/rapid"
)

// TestOlderRowDoesNotTakeBackLeaving guards against requests to an endpoint that has said that it leaves: rows of the store that do not
// say so may be older than the endpoint's answer. They may also disappear and return.
func TestOlderRowDoesNotTakeBackLeaving(t *testing.T) {
	changed := entry("a", 1)
	changed.Slots = 2
	tests := []struct {
		name  string
		apply func(d *roster.Directory)
	}{
		{"the same row again", func(d *roster.Directory) { d.Put(entry("a", 1)) }},
		{"a changed row", func(d *roster.Directory) { d.Put(changed) }},
		{"a row that disappears and returns", func(d *roster.Directory) { d.Remove("a", start); d.Put(entry("a", 1)) }},
		{"a list without the endpoint, and its return", func(d *roster.Directory) {
			d.Retain(map[wire.EndpointId]bool{}, start)
			d.Put(entry("a", 1))
		}},
		{"an entry that lapses in an outage and returns", func(d *roster.Directory) {
			d.StoreLost()
			d.Remove("a", start)
			d.StoreRegained(start)
			d.Put(entry("a", 1))
		}},
		{"a row of another incarnation, then the old one again", func(d *roster.Directory) { d.Put(entry("a", 2)); d.Put(entry("a", 1)) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := roster.NewDirectory()
			d.Put(entry("a", 1))
			if e := d.View().All()["a"]; !e.MarkLeaving() || e.MarkLeaving() {
				t.Error("only the first answer that says so is news")
			}
			test.apply(d)
			if isAvailable(d, "a", start) {
				t.Error("the endpoint is available")
			}
		})
	}
}

// TestNewIncarnationAtTheSameIdIsNotLeaving guards against a restarted endpoint that never gets requests again.
func TestNewIncarnationAtTheSameIdIsNotLeaving(t *testing.T) {
	d := roster.NewDirectory()
	d.Put(entry("a", 1))
	old := d.View().All()["a"]
	old.MarkLeaving()
	d.Put(entry("a", 2))
	if !isAvailable(d, "a", start) {
		t.Error("the new incarnation is not available")
	}
	if old.MarkLeaving(); !isAvailable(d, "a", start) {
		t.Error("a late answer of the old incarnation made the new one leave")
	}
}

// TestLateAnswerOfAnUnlistedIncarnationCounts guards against an answer that arrives after the endpoint's entry has disappeared, while the
// store is about to list it again.
func TestLateAnswerOfAnUnlistedIncarnationCounts(t *testing.T) {
	d := roster.NewDirectory()
	d.Put(entry("a", 1))
	old := d.View().All()["a"]
	d.Remove("a", start)
	old.MarkLeaving()
	if d.Put(entry("a", 1)); isAvailable(d, "a", start) {
		t.Error("the endpoint is available after it was listed again")
	}
}

// TestEndpointThatLeavesWhileTheStoreIsAwayGetsNoRequest guards against requests to an endpoint whose leaving the store could not tell.
func TestEndpointThatLeavesWhileTheStoreIsAwayGetsNoRequest(t *testing.T) {
	d := roster.NewDirectory()
	d.Put(entry("a", 1))
	d.StoreLost()
	d.View().All()["a"].MarkLeaving()
	if isAvailable(d, "a", start) {
		t.Error("the endpoint is available")
	}
	if !d.Remove("a", start) {
		t.Error("an endpoint that has said that it leaves is kept as lapsed")
	}
}

// TestPeerKnowsOfLeavingBeforeTheRowArrives guards against a report that arrives before the endpoint's row and is lost by that.
func TestPeerKnowsOfLeavingBeforeTheRowArrives(t *testing.T) {
	d := roster.NewDirectory()
	if k := entry("a", 1).Key; !d.MarkLeaving(k) || d.MarkLeaving(k) {
		t.Error("only the first report is news")
	}
	if d.Put(entry("a", 1)); isAvailable(d, "a", start) {
		t.Error("the incarnation that leaves is available")
	}
	if d.Put(entry("a", 2)); !isAvailable(d, "a", start) {
		t.Error("the next incarnation is not available")
	}
}

// TestUnlistedIncarnationsAreForgottenInOrder guards against memory that grows with each incarnation or report.
func TestUnlistedIncarnationsAreForgottenInOrder(t *testing.T) {
	const remembered = 1024
	d := roster.NewDirectory()
	for i := range remembered + 1 {
		d.MarkLeaving(roster.Key{ID: wire.EndpointId(fmt.Sprint("e", i)), Born: 1})
	}
	for id, want := range map[string]bool{"e0": true, "e1": false, "e1024": false} {
		if d.Put(entry(id, 1)); isAvailable(d, id, start) != want {
			t.Errorf("%s: available is not %v", id, want)
		}
	}
}

// TestNoEndpointThatSaidItLeavesIsAvailable applies answers, rows, reports of peers and outages in any order. An incarnation that was
// told to leave must not be available from then on; the others must be if they are listed.
func TestNoEndpointThatSaidItLeavesIsAvailable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := roster.NewDirectory()
		now := start
		leaving := map[roster.Key]bool{}
		seen := []*roster.Endpoint{}
		key := func() roster.Key {
			return entry(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"), rapid.Int64Range(1, 3).Draw(t, "born")).Key
		}
		t.Repeat(map[string]func(*rapid.T){
			"row": func(*rapid.T) {
				k := key()
				d.Put(entry(string(k.ID), k.Born))
				seen = append(seen, d.View().All()[k.ID])
			},
			"answer": func(t *rapid.T) {
				if len(seen) > 0 {
					e := rapid.SampledFrom(seen).Draw(t, "endpoint")
					e.MarkLeaving()
					leaving[e.Entry().Key] = true
				}
			},
			"older success": func(t *rapid.T) {
				if len(seen) > 0 {
					rapid.SampledFrom(seen).Draw(t, "endpoint").MarkWorking()
				}
			},
			"report": func(*rapid.T) {
				k := key()
				d.MarkLeaving(k)
				leaving[k] = true
			},
			"remove": func(*rapid.T) { d.Remove(key().ID, now) },
			"lose":   func(*rapid.T) { d.StoreLost() },
			"regain": func(*rapid.T) { d.StoreRegained(now) },
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				d.DropLapsed(now)
			},
			"": func(t *rapid.T) {
				for _, e := range seen {
					if leaving[e.Entry().Key] && (e.Available(now) || !e.Leaving()) {
						t.Fatalf("%+v has said that it leaves and is available", e.Entry().Key)
					}
					if !leaving[e.Entry().Key] && e.Leaving() {
						t.Fatalf("%+v has not said that it leaves", e.Entry().Key)
					}
				}
			},
		})
	})
}

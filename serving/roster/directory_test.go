package roster_test

import (
	"fmt"
	"testing"
	"time"

	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
	"pgregory.net/rapid"
)

var start = time.Unix(1e9, 0)

func entry(id string, born int64) roster.Entry {
	return roster.Entry{Key: roster.Key{ID: wire.EndpointId(id), Born: born}, Service: "s", Address: "10.0.0.1:80", Domain: "a", Slots: 1}
}

func isAvailable(d *roster.Directory, id string, now time.Time) bool {
	e, ok := d.View().All()[wire.EndpointId(id)]
	return ok && e.Available(now)
}

func TestLeavingEndpointIsNotAvailable(t *testing.T) {
	d := roster.NewDirectory()
	d.Put(entry("a", 1))
	if !isAvailable(d, "a", start) {
		t.Fatal("a listed endpoint is not available")
	}
	reference := d.View().All()["a"]
	leaving := entry("a", 1)
	leaving.Leaving = true
	d.Put(leaving)
	if isAvailable(d, "a", start) || reference.Available(start) {
		t.Error("a leaving endpoint is available")
	}
}

func TestRemovedEndpointIsNotAvailableThroughOlderReferences(t *testing.T) {
	d := roster.NewDirectory()
	d.Put(entry("a", 1))
	reference := d.View().All()["a"]
	if !d.Remove("a", start) || reference.Available(start) {
		t.Error("a removed endpoint is available")
	}
}

func TestNewIncarnationStartsWithoutStateOfTheOldOne(t *testing.T) {
	d := roster.NewDirectory()
	d.Put(entry("a", 1))
	old := d.View().All()["a"]
	old.RecordParts([]roster.PartID{1, 2}, start)
	release := old.Begin(100)
	d.Put(entry("a", 2))
	created := d.View().All()["a"]
	if created == old || created.CachedParts([]roster.PartID{1}, start) != 0 || created.InFlight() != 0 || old.Available(start) {
		t.Error("the new incarnation has the old one's state")
	}
	release()
	release()
	if old.InFlight() != 0 || old.PrefillLoad() != 0 {
		t.Error("ending a request twice changed the load twice")
	}
}

func TestLapsedEntryIsDroppedAfterTheGracePeriod(t *testing.T) {
	tests := []struct {
		name      string
		reappears bool
		after     time.Duration
		want      bool
	}{
		{"still missing before the grace ends", false, roster.LapseGrace - time.Millisecond, true},
		{"missing when the grace ends", false, roster.LapseGrace, false},
		{"back in time", true, roster.LapseGrace, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := roster.NewDirectory()
			d.Put(entry("a", 1))
			d.StoreLost()
			d.StoreRegained(start)
			d.Retain(map[wire.EndpointId]bool{}, start)
			if !isAvailable(d, "a", start) {
				t.Fatal("a lapsed entry was removed at once")
			}
			if test.reappears {
				d.Put(entry("a", 1))
			}
			now := start.Add(test.after)
			d.DropLapsed(now)
			if got := isAvailable(d, "a", now); got != test.want {
				t.Errorf("available: got %v, want %v", got, test.want)
			}
		})
	}
}

func TestLeavingEndpointIsRemovedAtOnceDuringStoreOutage(t *testing.T) {
	d := roster.NewDirectory()
	leaving := entry("a", 1)
	leaving.Leaving = true
	d.Put(leaving)
	d.StoreLost()
	if !d.Remove("a", start) {
		t.Error("a leaving endpoint was kept as lapsed")
	}
}

func TestFailedEndpointIsPausedLongerEachTime(t *testing.T) {
	d := roster.NewDirectory()
	d.Put(entry("a", 1))
	e := d.View().All()["a"]
	now, last := start, time.Duration(0)
	for range 8 {
		e.MarkFailed(now)
		pause := time.Duration(0)
		for !e.Available(now.Add(pause)) {
			pause += 10 * time.Millisecond
		}
		if pause < last || pause == 0 || pause > 4*time.Second {
			t.Fatalf("paused for %v after %v", pause, last)
		}
		last = pause
		now = now.Add(pause)
	}
	e.MarkWorking()
	if !e.Available(now) {
		t.Error("an endpoint that worked is paused")
	}
}

// directoryModel is the oracle of a directory: the entries that the store listed last, and the state of its outages.
type directoryModel struct {
	now       time.Time
	storeDown bool
	graceEnd  time.Time
	listed    map[string]roster.Entry
	// missing holds the entries that disappeared, and whether each counts as lapsed.
	missing map[string]bool
}

func TestDirectoryFollowsTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := roster.NewDirectory()
		m := directoryModel{now: start, listed: map[string]roster.Entry{}, missing: map[string]bool{}}
		id := rapid.SampledFrom([]string{"a", "b", "c"})
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				for name, e := range m.listed {
					if got := isAvailable(d, name, m.now); got != !e.Leaving {
						t.Fatalf("%s is listed, leaving %v: available %v", name, e.Leaving, got)
					}
				}
				for name, lapsed := range m.missing {
					got := isAvailable(d, name, m.now)
					if !lapsed && got {
						t.Fatalf("%s is removed and available", name)
					}
					if lapsed && !m.storeDown && !m.now.Before(m.graceEnd) && got {
						t.Fatalf("%s lapsed, did not come back and is available", name)
					}
				}
			},
			"put": func(t *rapid.T) {
				name := id.Draw(t, "id")
				e := entry(name, rapid.Int64Range(1, 2).Draw(t, "born"))
				e.Leaving = rapid.Bool().Draw(t, "leaving")
				d.Put(e)
				m.listed[name] = e
				delete(m.missing, name)
			},
			"remove": func(t *rapid.T) {
				name := id.Draw(t, "id")
				e, listed := m.listed[name]
				d.Remove(wire.EndpointId(name), m.now)
				if listed {
					m.missing[name] = !e.Leaving && (m.storeDown || m.now.Before(m.graceEnd))
					delete(m.listed, name)
				}
			},
			"lose": func(*rapid.T) { d.StoreLost(); m.storeDown = true },
			"regain": func(*rapid.T) {
				d.StoreRegained(m.now)
				if m.storeDown {
					m.storeDown, m.graceEnd = false, m.now.Add(roster.LapseGrace)
				}
			},
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
				d.DropLapsed(m.now)
			},
		})
	})
}

func ExampleDirectory_Put() {
	d := roster.NewDirectory()
	d.Put(entry("a", 1))
	fmt.Println(len(d.View().Service("s")))
	// Output: 1
}

func TestBatchPublishesItsChangesTogether(t *testing.T) {
	d := roster.NewDirectory()
	put := func(id wire.EndpointId) {
		d.Put(roster.Entry{Key: roster.Key{ID: id, Born: 1}, Service: "s"})
	}
	put("a")
	a := d.View().All()["a"]
	d.Batch(func() {
		put("b")
		put("c")
		if !d.Remove("a", start) {
			t.Error("an endpoint was not removed at once")
		}
		if a.Available(start) {
			t.Error("a removed endpoint is available until the end of the batch")
		}
		if len(d.View().Service("s")) != 1 {
			t.Error("the view changed within the batch")
		}
	})
	if all := d.View().All(); len(all) != 2 || all["a"] != nil {
		t.Errorf("after the batch the view lists %d endpoints", len(all))
	}
	before := d.View()
	d.Batch(func() {})
	if d.View() != before {
		t.Error("a batch without changes made a new view")
	}
}

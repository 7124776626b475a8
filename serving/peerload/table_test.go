package peerload_test

import (
	"fmt"
	"testing"
	"time"

	"cowslipshunt.example/serving/peerload"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
	"pgregory.net/rapid"
)

// TestLoadsAreTheSumOfTheNewestReports applies reports of instances that restart or stop reporting, with endpoints that are
// listed only after reports name them. The oracle adds up the newest report of each instance.
func TestLoadsAreTheSumOfTheNewestReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := roster.NewDirectory()
		table := peerload.NewTable("self", d)
		at := now
		type received struct {
			report peerload.Report
			at     time.Time
		}
		newest := map[wire.InstanceName]received{}
		endpoint := func() wire.EndpointId {
			return wire.EndpointId(fmt.Sprint("e", rapid.IntRange(0, 4).Draw(t, "endpoint")))
		}
		t.Repeat(map[string]func(*rapid.T){
			"list": func(*rapid.T) { d.Put(roster.Entry{Key: roster.Key{ID: endpoint(), Born: 1}, Service: "s"}) },
			"wait": func(*rapid.T) {
				at = at.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "millis")) * time.Millisecond)
			},
			"report": func(*rapid.T) {
				r := peerload.Report{
					From:        wire.InstanceName(fmt.Sprint("i", rapid.IntRange(0, 3).Draw(t, "instance"))),
					Incarnation: wire.IncarnationId(fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "incarnation"))),
					Sequence:    uint64(rapid.IntRange(1, 20).Draw(t, "sequence")),
				}
				for range rapid.IntRange(0, 3).Draw(t, "loads") {
					l := peerload.Load{Endpoint: endpoint(), Prefill: rapid.IntRange(-5, 1000).Draw(t, "prefill"), InFlight: rapid.IntRange(0, 9).Draw(t, "in flight")}
					r.Loads = append(r.Loads, l)
				}
				for range rapid.IntRange(0, 2).Draw(t, "paused") {
					r.Paused = append(r.Paused, endpoint())
				}
				table.Apply(r, at)
				if last, ok := newest[r.From]; !ok || last.report.Incarnation != r.Incarnation || r.Sequence > last.report.Sequence {
					newest[r.From] = received{r, at}
				}
			},
			"": func(t *rapid.T) {
				table.Expire(at)
				prefill, inFlight, paused := map[wire.EndpointId]int{}, map[wire.EndpointId]int{}, map[wire.EndpointId]int{}
				for name, last := range newest {
					if at.Sub(last.at) > 2500*time.Millisecond {
						delete(newest, name)
						continue
					}
					for _, l := range last.report.Loads {
						prefill[l.Endpoint] += max(l.Prefill, 0)
						inFlight[l.Endpoint] += l.InFlight
					}
					for _, id := range last.report.Paused {
						paused[id]++
					}
				}
				for id, e := range d.View().All() {
					if e.PrefillLoad() != prefill[id] || e.InFlight() != inFlight[id] || e.Available(at) != (paused[id] < 2) {
						t.Fatalf("%s: prefill %d, in flight %d, available %v; want %d, %d, paused by %d", id, e.PrefillLoad(), e.InFlight(), e.Available(at), prefill[id], inFlight[id], paused[id])
					}
				}
			},
		})
	})
}

// A report is shortened if it outgrows a datagram, such as that of an instance with requests in flight at most of a hundred
// engines.
func TestShortenedReportKeepsTheHeaviestLoads(t *testing.T) {
	r := peerload.Report{Sent: make([]peerload.SentParts, 3)}
	for i := range 8 {
		r.Loads = append(r.Loads, peerload.Load{Endpoint: wire.EndpointId(fmt.Sprint(i)), Prefill: i})
	}
	for len(r.Sent) > 0 {
		if r = r.Shortened(); len(r.Loads) != 8 {
			t.Fatal("loads were dropped before sent parts")
		}
	}
	r = r.Shortened()
	if len(r.Loads) != 4 || r.Loads[0].Prefill != 7 || r.Loads[3].Prefill != 4 {
		t.Errorf("kept %+v", r.Loads)
	}
}

// In a large deployment, 80 instances report to each other several times a second. The cost of applying a report may depend on the
// loads in it, but not on those in the reports of all other peers.
func TestCostOfReportDoesNotGrowWithPeers(t *testing.T) {
	cost := func(peers int) float64 {
		d := roster.NewDirectory()
		table := peerload.NewTable("self", d)
		for i := range 250 {
			d.Put(roster.Entry{Key: roster.Key{ID: wire.EndpointId(fmt.Sprint("e", i)), Born: 1}, Service: "s"})
		}
		var r peerload.Report
		for i := range peers {
			r = peerload.Report{From: wire.InstanceName(fmt.Sprint("i", i)), Incarnation: "1"}
			for l := range 5 {
				id := wire.EndpointId(fmt.Sprint("e", (5*i+l)%250))
				r.Loads = append(r.Loads, peerload.Load{Endpoint: id, Prefill: 1})
			}
			r.Sequence++
			table.Apply(r, now)
		}
		return testing.AllocsPerRun(100, func() {
			r.Sequence++
			table.Apply(r, now)
		})
	}
	if few, many := cost(2), cost(80); many > few {
		t.Errorf("a report makes %v allocations with 80 peers and %v with 2", many, few)
	}
}

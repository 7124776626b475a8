package peerload_test

import (
	"fmt"
	"testing"

	"cowslipshunt.example/serving/peerload"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
)

// TestPeersLearnThatAnEndpointLeaves guards against requests from instances that the endpoint has not answered, while the store is away.
// A report names the incarnation, so one that arrives late does no harm to the next.
func TestPeersLearnThatAnEndpointLeaves(t *testing.T) {
	a, b := newInstance("a"), newInstance("b")
	var sources []wire.InstanceName
	b.table = peerload.NewTable("b", b.directory, peerload.WithLeaving(func(_ roster.Key, from wire.InstanceName) { sources = append(sources, from) }))
	a.endpoint().MarkLeaving()
	r, changed := a.reporter.Next(now)
	if !changed {
		t.Error("a leaving endpoint was not reported as a change")
	}
	b.table.Apply(r, now)
	if b.endpoint().Available(now) {
		t.Error("the peer still sends requests to the endpoint")
	}
	again, changed := a.reporter.Next(now)
	if b.table.Apply(again, now); changed || len(again.Leaving) != 1 || len(sources) != 1 || sources[0] != "a" {
		t.Errorf("the second report is a change: %v; it names %v; the source was announced as %v", changed, again.Leaving, sources)
	}
	next := *b.endpoint().Entry()
	next.Born++
	b.directory.Put(next)
	late, _ := a.reporter.Next(now)
	if b.table.Apply(late, now); !b.endpoint().Available(now) {
		t.Error("a late report made the next incarnation leave")
	}
	if own, _ := b.reporter.Next(now); len(own.Leaving) != 0 {
		t.Error("an instance repeats what a peer has reported")
	}
}

// TestManyLeavingEndpointsAreReportedInTurn guards against reports that outgrow a datagram when a whole failure domain leaves.
func TestManyLeavingEndpointsAreReportedInTurn(t *testing.T) {
	const endpoints, most = 40, 16
	a := newInstance("a")
	for i := range endpoints {
		id := wire.EndpointId(fmt.Sprint("e", i))
		a.directory.Put(roster.Entry{Key: roster.Key{ID: id, Born: 1}, Service: "s"})
		a.directory.View().All()[id].MarkLeaving()
	}
	named := map[wire.EndpointId]bool{}
	for range 3 {
		r, _ := a.reporter.Next(now)
		if len(r.Leaving) > most {
			t.Errorf("a report names %d endpoints", len(r.Leaving))
		}
		for _, x := range r.Leaving {
			named[x.Endpoint] = true
		}
	}
	if len(named) != endpoints {
		t.Errorf("three reports name %d of %d endpoints", len(named), endpoints)
	}
}

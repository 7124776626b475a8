package peerload_test

import (
	"testing"
	"time"

	"cowslipshunt.example/serving/membership"
	"cowslipshunt.example/serving/peerload"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
)

var now = time.Unix(1e9, 0)

// instance is one instance's directory with its reporter and table.
type instance struct {
	directory *roster.Directory
	reporter  *peerload.Reporter
	table     *peerload.Table
}

func newInstance(name wire.InstanceName) *instance {
	d := roster.NewDirectory()
	d.Put(roster.Entry{Key: roster.Key{ID: "e", Born: 1}, Service: "s", Domain: "a", Stage: roster.Decode, Slots: 1})
	return &instance{directory: d, reporter: peerload.NewReporter(name, "1", string(name)+":1", "a", d), table: peerload.NewTable(name, d)}
}

func (i *instance) endpoint() *roster.Endpoint { return i.directory.View().All()["e"] }

func TestReportedLoadsAddUpAtPeers(t *testing.T) {
	a, b := newInstance("a"), newInstance("b")
	release := a.endpoint().Begin(100)
	first, changed := a.reporter.Next(now)
	if !changed {
		t.Error("a new load was not reported as a change")
	}
	b.endpoint().Begin(7)
	b.table.Apply(first, now)
	if e := b.endpoint(); e.PrefillLoad() != 107 || e.InFlight() != 2 || e.OwnPrefillLoad() != 7 || e.OwnInFlight() != 1 {
		t.Errorf("loads %d, %d, own %d, %d", e.PrefillLoad(), e.InFlight(), e.OwnPrefillLoad(), e.OwnInFlight())
	}
	if _, changed := a.reporter.Next(now); changed {
		t.Error("an unchanged load was reported as a change")
	}
	release()
	second, _ := a.reporter.Next(now)
	b.table.Apply(second, now)
	b.table.Apply(first, now)
	if e := b.endpoint(); e.PrefillLoad() != 7 {
		t.Errorf("an older report was applied: load %d", e.PrefillLoad())
	}
	if got := b.table.Peers(); len(got) != 1 || got[0] != (membership.Peer{Address: "a:1", Domain: "a"}) {
		t.Errorf("addresses %v", got)
	}
}

func TestLoadOfSilentPeerExpires(t *testing.T) {
	a, b := newInstance("a"), newInstance("b")
	a.endpoint().Begin(100)
	r, _ := a.reporter.Next(now)
	b.table.Apply(r, now)
	b.table.Expire(now.Add(time.Second))
	if b.endpoint().PrefillLoad() != 100 {
		t.Error("the load of a peer that reported a second ago has expired")
	}
	b.table.Expire(now.Add(3 * time.Second))
	if b.endpoint().PrefillLoad() != 0 || len(b.table.Peers()) != 0 {
		t.Error("the load of a silent peer has not expired")
	}
}

func TestSentPartsArriveThoughOneReportIsLost(t *testing.T) {
	a, b := newInstance("a"), newInstance("b")
	parts := []roster.PartID{1, 2}
	a.reporter.RecordSent("e", parts)
	_, _ = a.reporter.Next(now)
	second, _ := a.reporter.Next(now)
	b.table.Apply(second, now)
	if b.endpoint().CachedParts(parts, now) != 2 {
		t.Error("sent parts were lost with one report")
	}
	third, _ := a.reporter.Next(now)
	if len(third.Sent) != 0 {
		t.Error("sent parts are in a third report")
	}
}

func TestEngineIsNotAvailableUntilItsStageHasChanged(t *testing.T) {
	a, b := newInstance("a"), newInstance("b")
	a.reporter.RecordOrder("e", roster.Prefill, now.Add(8*time.Second))
	r, _ := a.reporter.Next(now)
	b.table.Apply(r, now)
	if b.endpoint().Available(now) {
		t.Error("an engine is available before it has changed its stage")
	}
	entry := *b.endpoint().Entry()
	entry.Stage = roster.Prefill
	b.directory.Put(entry)
	later, _ := a.reporter.Next(now.Add(time.Second))
	b.table.Apply(later, now.Add(time.Second))
	if !b.endpoint().Available(now.Add(time.Second)) {
		t.Error("an engine that has changed its stage is not available")
	}
	if r, _ := a.reporter.Next(now.Add(9 * time.Second)); len(r.Changes) != 0 {
		t.Error("an order is reported after its deadline")
	}
}

func TestOwnReportIsIgnored(t *testing.T) {
	a := newInstance("a")
	a.endpoint().Begin(5)
	r, _ := a.reporter.Next(now)
	a.table.Apply(r, now)
	if a.endpoint().PrefillLoad() != 5 {
		t.Error("an instance counts its own load twice")
	}
}

// One peer that avoids an endpoint is not enough for others to avoid it, as the peer may itself be cut off.
func TestEndpointThatTwoPeersAvoidIsAvoided(t *testing.T) {
	c := newInstance("c")
	for _, name := range []wire.InstanceName{"a", "b"} {
		peer := newInstance(name)
		peer.endpoint().MarkFailed(now)
		r, changed := peer.reporter.Next(now)
		if !changed {
			t.Error("a failed endpoint was not reported as a change")
		}
		c.table.Apply(r, now)
		if available := c.endpoint().Available(now); available != (name == "a") {
			t.Errorf("after the report of %s: available %v", name, available)
		}
	}
	c.table.Expire(now.Add(3 * time.Second))
	if !c.endpoint().Available(now) {
		t.Error("the endpoint is avoided although the peers that avoided it no longer report")
	}
}

func TestHolderReportedLimitsTheAgeOfTheReport(t *testing.T) {
	a, b := newInstance("a"), newInstance("b")
	r, _ := a.reporter.Next(now)
	b.table.Apply(r, now)
	if b.table.HolderReported(now, time.Second) {
		t.Error("a peer that does not hold the lease was taken for the holder")
	}
	a.reporter.SetHoldsLease(true)
	r, _ = a.reporter.Next(now)
	b.table.Apply(r, now)
	if !b.table.HolderReported(now, time.Second) || b.table.HolderReported(now.Add(time.Second), time.Second) {
		t.Error("the holder's report does not count, or counts for longer than the given time")
	}
}

// TestSuspicionOfBusyEndpointIsAnnouncedOnceASecond guards against a flood of log lines: peers avoid and use a busy endpoint again many
// times a second. The last state has to be announced in the end.
func TestSuspicionOfBusyEndpointIsAnnouncedOnceASecond(t *testing.T) {
	d := roster.NewDirectory()
	d.Put(roster.Entry{Key: roster.Key{ID: "e", Born: 1}, Service: "s", Domain: "a", Slots: 1})
	var announced []bool
	table := peerload.NewTable("self", d, peerload.WithSuspected(func(_ *roster.Endpoint, _ int, suspected bool) { announced = append(announced, suspected) }))
	now := time.Unix(1e9, 0)
	report := func(sequence int, paused ...wire.EndpointId) {
		for _, peer := range []wire.InstanceName{"p", "q"} {
			table.Apply(peerload.Report{From: peer, Incarnation: "1", Sequence: uint64(sequence), Paused: paused}, now)
		}
	}
	for n := range 40 {
		if n%2 == 0 {
			report(n+1, "e")
		} else {
			report(n + 1)
		}
		if avoided := !d.View().All()["e"].Available(now); avoided != (n%2 == 0) {
			t.Fatalf("after report %d the endpoint is avoided: %v", n, avoided)
		}
		now = now.Add(50 * time.Millisecond)
	}
	if len(announced) == 0 || len(announced) > 3 {
		t.Errorf("%d changes were announced in 2 s", len(announced))
	}
	now = now.Add(time.Second)
	table.Expire(now)
	if last := announced[len(announced)-1]; last {
		t.Error("the last state was not announced")
	}
}

package peerload_test

import (
	"testing"
	"time"

	"cowslipshunt.example/serving/peerload"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
)

var now = time.Unix(1e9, 0)

// instance is one instance's directory with its reporter and board.
type instance struct {
	directory *roster.Directory
	reporter  *peerload.Reporter
	board     *peerload.Table
}

func newInstance(name wire.InstanceName) *instance {
	d := roster.NewDirectory()
	d.Put(roster.Entry{Key: roster.Key{ID: "e", Born: 1}, Service: "s", Domain: "a", Stage: roster.Decode, Slots: 1})
	return &instance{directory: d, reporter: peerload.NewReporter(name, "1", string(name)+":1", d), board: peerload.NewTable(name, d)}
}

func (i *instance) endpoint() *roster.Endpoint { return i.directory.View().All()["e"] }

func TestReportedLoadsAddUpAtPeers(t *testing.T) {
	a, b := newInstance("a"), newInstance("b")
	end := a.endpoint().Begin(100)
	first, changed := a.reporter.Next(now)
	if !changed {
		t.Error("a new load was not reported as a change")
	}
	b.endpoint().Begin(7)
	b.board.Apply(first, now)
	if e := b.endpoint(); e.PrefillLoad() != 107 || e.InFlight() != 2 || e.OwnPrefillLoad() != 7 || e.OwnInFlight() != 1 {
		t.Errorf("loads %d, %d, own %d, %d", e.PrefillLoad(), e.InFlight(), e.OwnPrefillLoad(), e.OwnInFlight())
	}
	if _, changed := a.reporter.Next(now); changed {
		t.Error("an unchanged load was reported as a change")
	}
	end()
	second, _ := a.reporter.Next(now)
	b.board.Apply(second, now)
	b.board.Apply(first, now)
	if e := b.endpoint(); e.PrefillLoad() != 7 {
		t.Errorf("an older report was applied: load %d", e.PrefillLoad())
	}
	if got := b.board.Addresses(); len(got) != 1 || got[0] != "a:1" {
		t.Errorf("addresses %v", got)
	}
}

func TestLoadOfSilentPeerExpires(t *testing.T) {
	a, b := newInstance("a"), newInstance("b")
	a.endpoint().Begin(100)
	r, _ := a.reporter.Next(now)
	b.board.Apply(r, now)
	b.board.Expire(now.Add(time.Second))
	if b.endpoint().PrefillLoad() != 100 {
		t.Error("the load of a peer that reported a second ago has expired")
	}
	b.board.Expire(now.Add(3 * time.Second))
	if b.endpoint().PrefillLoad() != 0 || len(b.board.Addresses()) != 0 {
		t.Error("the load of a silent peer has not expired")
	}
}

func TestSentPartsArriveThoughOneReportIsLost(t *testing.T) {
	a, b := newInstance("a"), newInstance("b")
	parts := []roster.PartID{1, 2}
	a.reporter.RecordSent("e", parts)
	_, _ = a.reporter.Next(now)
	second, _ := a.reporter.Next(now)
	b.board.Apply(second, now)
	if b.endpoint().CachedParts(parts, now) != 2 {
		t.Error("sent parts were lost with one report")
	}
	third, _ := a.reporter.Next(now)
	if len(third.Sent) != 0 {
		t.Error("sent parts are in a third report")
	}
}

func TestEngineUnderAStageOrderIsClosedUntilItHasChanged(t *testing.T) {
	a, b := newInstance("a"), newInstance("b")
	a.reporter.RecordOrder("e", roster.Prefill, now.Add(8*time.Second))
	r, _ := a.reporter.Next(now)
	b.board.Apply(r, now)
	if b.endpoint().Available(now) {
		t.Error("an engine is open before it has changed its stage")
	}
	entry := *b.endpoint().Entry()
	entry.Stage = roster.Prefill
	b.directory.Put(entry)
	later, _ := a.reporter.Next(now.Add(time.Second))
	b.board.Apply(later, now.Add(time.Second))
	if !b.endpoint().Available(now.Add(time.Second)) {
		t.Error("an engine that has changed its stage is closed")
	}
	if r, _ := a.reporter.Next(now.Add(9 * time.Second)); len(r.Changes) != 0 {
		t.Error("an order is reported after its deadline")
	}
}

func TestOwnReportIsIgnored(t *testing.T) {
	a := newInstance("a")
	a.endpoint().Begin(5)
	r, _ := a.reporter.Next(now)
	a.board.Apply(r, now)
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
		c.board.Apply(r, now)
		if open := c.endpoint().Available(now); open != (name == "a") {
			t.Errorf("after the report of %s: open %v", name, open)
		}
	}
	c.board.Expire(now.Add(3 * time.Second))
	if !c.endpoint().Available(now) {
		t.Error("the endpoint is avoided although the peers that avoided it no longer report")
	}
}

func TestHolderIsKnownWhileItReports(t *testing.T) {
	a, b := newInstance("a"), newInstance("b")
	r, _ := a.reporter.Next(now)
	b.board.Apply(r, now)
	if b.board.HolderReported(now, time.Second) {
		t.Error("a peer that does not hold the lease was taken for the holder")
	}
	a.reporter.SetHoldsLease(true)
	r, _ = a.reporter.Next(now)
	b.board.Apply(r, now)
	if !b.board.HolderReported(now, time.Second) || b.board.HolderReported(now.Add(time.Second), time.Second) {
		t.Error("the holder is not known, or is known for longer than the given time after its report")
	}
}

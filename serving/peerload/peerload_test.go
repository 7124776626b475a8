package peerload_test

import (
	"testing"
	"time"

	"cowslipshunt.example/serving/peerload"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
)

var now = time.Unix(1e9, 0)

// instance is one instance's view with its reporter and board.
type instance struct {
	directory *roster.Directory
	reporter  *peerload.Reporter
	board     *peerload.Board
}

func newInstance(name wire.InstanceName) *instance {
	d := roster.NewDirectory()
	d.Put(roster.Entry{Key: roster.Key{ID: "e", Born: 1}, Service: "s", Domain: "a", Stage: roster.Decode, Slots: 1})
	return &instance{directory: d, reporter: peerload.NewReporter(name, "1", string(name)+":1", d), board: peerload.NewBoard(name, d)}
}

func (x *instance) endpoint() *roster.Endpoint { return x.directory.View().All()["e"] }

func TestPeersKnowEachOthersLoad(t *testing.T) {
	a, b := newInstance("a"), newInstance("b")
	end := a.endpoint().Begin(100)
	first, changed := a.reporter.Next(now)
	if !changed {
		t.Error("a new load is no change")
	}
	b.endpoint().Begin(7)
	b.board.Take(first, now)
	if e := b.endpoint(); e.PrefillLoad() != 107 || e.InFlight() != 2 || e.OwnPrefillLoad() != 7 || e.OwnInFlight() != 1 {
		t.Errorf("loads %d, %d, own %d, %d", e.PrefillLoad(), e.InFlight(), e.OwnPrefillLoad(), e.OwnInFlight())
	}
	if _, changed := a.reporter.Next(now); changed {
		t.Error("an unchanged load is a change")
	}
	end()
	second, _ := a.reporter.Next(now)
	b.board.Take(second, now)
	b.board.Take(first, now)
	if e := b.endpoint(); e.PrefillLoad() != 7 {
		t.Errorf("an older report was taken: load %d", e.PrefillLoad())
	}
	if got := b.board.Addresses(); len(got) != 1 || got[0] != "a:1" {
		t.Errorf("addresses %v", got)
	}
}

func TestSilentPeerNoLongerCounts(t *testing.T) {
	a, b := newInstance("a"), newInstance("b")
	a.endpoint().Begin(100)
	r, _ := a.reporter.Next(now)
	b.board.Take(r, now)
	b.board.Expire(now.Add(time.Second))
	if b.endpoint().PrefillLoad() != 100 {
		t.Error("a peer that reported a second ago does not count")
	}
	b.board.Expire(now.Add(3 * time.Second))
	if b.endpoint().PrefillLoad() != 0 || len(b.board.Addresses()) != 0 {
		t.Error("a silent peer counts")
	}
}

func TestUsesArriveThoughOneReportIsLost(t *testing.T) {
	a, b := newInstance("a"), newInstance("b")
	parts := []roster.PartID{1, 2}
	a.reporter.Used("e", parts)
	_, _ = a.reporter.Next(now)
	second, _ := a.reporter.Next(now)
	b.board.Take(second, now)
	if b.endpoint().Kept(parts, now) != 2 {
		t.Error("a use was lost with one report")
	}
	third, _ := a.reporter.Next(now)
	if len(third.Uses) != 0 {
		t.Error("a use is repeated for ever")
	}
}

func TestEngineUnderAnOrderIsClosedForPeersUntilItHasChanged(t *testing.T) {
	a, b := newInstance("a"), newInstance("b")
	a.reporter.Ordered("e", roster.Prefill, now.Add(8*time.Second))
	r, _ := a.reporter.Next(now)
	b.board.Take(r, now)
	if b.endpoint().Open(now) {
		t.Error("an engine under an order is open")
	}
	entry := *b.endpoint().Entry()
	entry.Stage = roster.Prefill
	b.directory.Put(entry)
	later, _ := a.reporter.Next(now.Add(time.Second))
	b.board.Take(later, now.Add(time.Second))
	if !b.endpoint().Open(now.Add(time.Second)) {
		t.Error("an engine that has changed is closed")
	}
	if r, _ := a.reporter.Next(now.Add(9 * time.Second)); len(r.Changes) != 0 {
		t.Error("an order is told for ever")
	}
}

func TestOwnReportIsNotTaken(t *testing.T) {
	a := newInstance("a")
	a.endpoint().Begin(5)
	r, _ := a.reporter.Next(now)
	a.board.Take(r, now)
	if a.endpoint().PrefillLoad() != 5 {
		t.Error("an instance counts its load twice")
	}
}

// TestEndpointThatTwoPeersLeaveAloneIsLeftAlone holds that one peer, which may be cut off by itself, is not enough.
func TestEndpointThatTwoPeersLeaveAloneIsLeftAlone(t *testing.T) {
	c := newInstance("c")
	for _, name := range []wire.InstanceName{"a", "b"} {
		x := newInstance(name)
		x.endpoint().Failed(now)
		r, changed := x.reporter.Next(now)
		if !changed {
			t.Error("a failed endpoint is no change")
		}
		c.board.Take(r, now)
		if open := c.endpoint().Open(now); open != (name == "a") {
			t.Errorf("after the report of %s: open %v", name, open)
		}
	}
	c.board.Expire(now.Add(3 * time.Second))
	if !c.endpoint().Open(now) {
		t.Error("the endpoint is left alone after its accusers fell silent")
	}
}

func TestHolderIsHeardWhileItReports(t *testing.T) {
	a, b := newInstance("a"), newInstance("b")
	r, _ := a.reporter.Next(now)
	b.board.Take(r, now)
	if b.board.HolderHeard(now, time.Second) {
		t.Error("a peer that does not hold the lease was taken for the holder")
	}
	a.reporter.SetHolds(true)
	r, _ = a.reporter.Next(now)
	b.board.Take(r, now)
	if !b.board.HolderHeard(now, time.Second) || b.board.HolderHeard(now.Add(time.Second), time.Second) {
		t.Error("the holder was not heard for just the time since its report")
	}
}

package main

import (
	"testing"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/platform/platformtest"
	"cowslipshunt.example/serving/replication"
	"cowslipshunt.example/serving/roster"
)

// tooHigh is a version that no store reaches in a test.
const tooHigh replication.Version = 1 << 60

// TestUpdateAboveTheStoresVersionStopsNoFeed guards against a receiver that ignores all further changes after an update with a version that
// the store does not have, until its process ends.
func TestUpdateAboveTheStoresVersionStopsNoFeed(t *testing.T) {
	x := newReplicaPair(t)
	x.start()
	own := replication.Version(x.store.Version())
	for _, f := range []*follower{x.receiver.endpoints, x.receiver.configuration} {
		f.receive(&replication.Update{Table: f.table, After: own, Version: tooHigh, Newest: tooHigh})
	}
	x.store.Put(platform.ReplicaTable, "i-1", platformtest.Entry("10.0.0.1:80", "ready"))
	x.store.Put(platform.OperatorTable, platform.ConfigurationKey, platformtest.Configuration(2, "k"))
	x.withinBound("the new endpoint and configuration", func() bool { return x.listed(2)() && x.configured(2)() })
	if v := x.receiver.endpoints.lag.Changed(); v >= tooHigh {
		t.Errorf("the receiver reports version %d to its peers", v)
	}
	x.settle()
	answers := x.answers.Load()
	x.store.Delete(platform.ReplicaTable, "i-1")
	x.withinBound("the list without the endpoint", x.listed(1))
	if n := x.answers.Load() - answers; n > 0 {
		t.Errorf("the receiver made %d calls to the store, want to rely on the reader again", n)
	}
}

// malformedUpdates are updates that no reader sends, of a copy at version own.
func malformedUpdates(own replication.Version) map[string]replication.Update {
	next := own + 1
	listing := replication.Listing{Service: "s", Address: "10.0.0.9:80", Domain: "a", Slots: 4, Born: 1}
	with := func(change func(l *replication.Listing)) replication.Update {
		l := listing
		change(&l)
		return replication.Update{After: own, Version: next, Newest: next, Changes: []replication.Change{{Version: next, ID: "i-odd", Listing: &l}}}
	}
	return map[string]replication.Update{
		"unknown stage":           with(func(l *replication.Listing) { l.Stage = 9 }),
		"negative stage":          with(func(l *replication.Listing) { l.Stage = -1 }),
		"port 0":                  with(func(l *replication.Listing) { l.Address = "10.0.0.9:0" }),
		"port out of range":       with(func(l *replication.Listing) { l.Address = "10.0.0.9:70000" }),
		"negative slots":          with(func(l *replication.Listing) { l.Slots = -1 }),
		"no start":                with(func(l *replication.Listing) { l.Born = 0 }),
		"no service":              with(func(l *replication.Listing) { l.Service = "" }),
		"versions in reverse":     {After: own, Version: own - 1, Newest: own},
		"newest before the last":  {After: own, Version: next, Newest: own},
		"change after the last":   {After: own, Version: next, Newest: next, Changes: []replication.Change{{Version: tooHigh, ID: "i-odd"}}},
		"change before the first": {After: own, Version: next, Newest: next, Changes: []replication.Change{{Version: 0, ID: "i-odd"}}},
		"negative versions":       {After: -5, Version: -4, Newest: -3},
		"newest below the copy":   {After: own, Version: own, Newest: own - 1},
	}
}

// TestMalformedUpdateVouchesForNothing guards against a receiver whose copy counts as up to date because of updates that it cannot apply.
func TestMalformedUpdateVouchesForNothing(t *testing.T) {
	for name, u := range malformedUpdates(5) {
		t.Run(name, func(t *testing.T) {
			d := roster.NewDirectory()
			receiver := replicas{role: func() replication.Role { return replication.Receiver }, maxSilence: time.Minute}
			output := &logBuffer{}
			f := newEndpointFollower(nil, d, func() int { return 80 }, receiver, newLogger(output, "info", "i"))
			f.version = 5
			u.Table = f.table
			for range 20 {
				_ = protect(f.logger, "datagram", func() { f.receive(&u) })
			}
			if left := f.vouchedFor(); left > 0 {
				t.Errorf("the update vouches for the copy for %v", left)
			}
			if n := len(d.View().All()); n > 0 || f.version != 5 {
				t.Errorf("%d endpoints are listed, and the copy has version %d", n, f.version)
			}
			waitFor(t, "one line about the updates", func() bool { return countLines(output, "UpdateRejected") == 1 })
			if countLines(output, "Panicked") > 0 {
				t.Error("the update made its receiver panic")
			}
		})
	}
}

// TestPanicInUpdateVouchesForNothing guards against a copy that counts as up to date though applying the update has panicked.
func TestPanicInUpdateVouchesForNothing(t *testing.T) {
	receiver := replicas{role: func() replication.Role { return replication.Receiver }, maxSilence: time.Minute}
	f := newEndpointFollower(nil, roster.NewDirectory(), func() int { return 80 }, receiver, newLogger(&logBuffer{}, "info", "i"))
	f.version = 5
	f.applyChanges = func([]replication.Change) { panic("test") }
	u := replication.Update{Table: f.table, After: 5, Version: 6, Newest: 6, Changes: []replication.Change{{Version: 6, ID: "i-1"}}}
	if protect(f.logger, "datagram", func() { f.receive(&u) }) == nil {
		t.Fatal("the update did not panic")
	}
	if left := f.vouchedFor(); left > 0 || f.version != 5 {
		t.Errorf("the update vouches for the copy for %v, at version %d", left, f.version)
	}
}

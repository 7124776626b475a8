package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/platform/platformtest"
	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/shared/era"
	"cowslipshunt.example/wire"
	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"
)

// TestConfigurationOfRestoredStoreIsApplied guards against an instance that ignores what is written after a restore, because the store
// assigns versions again that the instance has applied already.
func TestConfigurationOfRestoredStoreIsApplied(t *testing.T) {
	x := startInstance(t, respondDone)
	x.configure(1, "k")
	x.listEndpoint("i-1", "ready")
	x.eventually("a request that is served", func() bool { status, _ := x.post("1", "k"); return status == http.StatusOK })
	backup := x.store.Backup()
	for n := range 50 {
		x.store.Put("op", fmt.Sprint("other", n), "{}")
	}
	x.configure(2, "k2")
	x.eventually("the second configuration", func() bool { status, _ := x.post("2", "k2"); return status == http.StatusOK })
	x.store.Fail(http.StatusServiceUnavailable)
	x.store.Restore(backup)
	x.store.Fail(0)
	if status, _ := x.post("3", "k2"); status != http.StatusOK {
		t.Errorf("a request got status %d after the restore", status)
	}
	x.configure(3, "k3")
	x.listEndpoint("i-1", "ready")
	x.eventually("the configuration that was written after the restore", func() bool { status, _ := x.post("4", "k3"); return status == http.StatusOK })
}

// TestRestoredStoreDoesNotRevertEndpoints guards against an endpoint that leaves, or has left, and gets requests again because a restored
// store lists its earlier state.
func TestRestoredStoreDoesNotRevertEndpoints(t *testing.T) {
	store := platformtest.NewStore(t)
	d := roster.NewDirectory()
	f := newEndpointFollower(platform.NewStore(store.Address, nil), d, func() int { return 1 }, noReplicas(), newLogger(io.Discard, "error", "i"))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go f.run(ctx)
	put := func(id, state string) { store.Put(platform.ReplicaTable, id, platformtest.Entry("10.0.0.1:80", state)) }
	put("leaves", "ready")
	put("gone", "ready")
	backup := store.Backup()
	put("leaves", "draining")
	waitFor(t, "an endpoint that leaves", func() bool { e := d.View().All()["leaves"]; return e != nil && e.Leaving() })
	store.Delete(platform.ReplicaTable, "gone")
	waitFor(t, "an endpoint that is gone", func() bool { return d.View().All()["gone"] == nil })
	for _, id := range []wire.EndpointId{"in the first era", "in the second era"} {
		store.Restore(backup)
		put(string(id), "ready")
		waitFor(t, "the endpoint of the new era", func() bool { return d.View().All()[id] != nil })
		if all := d.View().All(); !all["leaves"].Leaving() || all["gone"] != nil {
			t.Fatalf("the endpoints are %v, one leaves: %t", all, all["leaves"].Leaving())
		}
	}
	// The endpoint may write again that it stays, and one that is alive after all registers again.
	put("gone", "ready")
	put("leaves", "ready")
	waitFor(t, "the states that the endpoints wrote again", func() bool {
		all := d.View().All()
		return all["gone"] != nil && !all["leaves"].Leaving()
	})
}

// TestReceiverFollowsRestoredStore guards against a receiver that ignores the updates of a later era, as their versions are lower.
func TestReceiverFollowsRestoredStore(t *testing.T) {
	x := newReplicaPair(t)
	x.start()
	backup := x.store.Backup()
	for i := range 30 {
		x.store.Put(platform.ReplicaTable, fmt.Sprint("i-", i), platformtest.Entry("10.0.0.1:80", "ready"))
	}
	x.withinBound("the list of new endpoints", x.listed(30))
	x.store.Restore(backup)
	x.store.Put(platform.ReplicaTable, "i-new", platformtest.Entry("10.0.0.1:80", "ready"))
	x.store.Put(platform.OperatorTable, platform.ConfigurationKey, platformtest.Configuration(2, "k"))
	x.withinBound("the endpoint and the configuration of the new era", func() bool {
		return x.directory.View().All()["i-new"] != nil && x.configured(2)()
	})
}

// TestInstanceWritesAgainWhatRestoredStoreLost guards against a lease, a row of a member and a base of the agreed time that stay lost, and
// against a peer's claim of an era that is believed without the store.
func TestInstanceWritesAgainWhatRestoredStoreLost(t *testing.T) {
	x := startInstance(t, respondDone)
	x.configure(1, "k")
	backup := x.store.Backup()
	has := func(table, key string) func() bool {
		return func() bool { return slices.Contains(x.store.Keys(table), key) }
	}
	x.eventually("a lease", has("lease", "duties"))
	x.eventually("a base", has("time", "base"))
	x.eventually("a member", has("member", "front-a-1"))
	x.store.LoseFeeds(true)
	x.claimEra(9)
	x.eventually("a check of the claim", func() bool { return strings.Contains(x.log.String(), "a peer knows a later era") })
	x.store.LoseFeeds(false)
	if strings.Contains(x.log.String(), "StoreEra") {
		t.Errorf("a peer's claim was believed; the log is:\n%s", x.log)
	}
	x.store.Restore(backup)
	x.eventually("the lease of the new era", has("lease", "duties@1"))
	x.eventually("the base", has("time", "base"))
	x.eventually("the member", has("member", "front-a-1"))
}

// claimEra sends the instance a datagram of a peer that claims to know an era.
func (x *testInstance) claimEra(e era.Era) {
	x.t.Helper()
	data, err := cbor.Marshal(message{Era: e})
	if err != nil {
		x.t.Fatal(err)
	}
	peer, err := net.Dial("udp", x.settings.PeerAddress)
	if err != nil {
		x.t.Fatal(err)
	}
	defer func() { _ = peer.Close() }()
	if _, err := peer.Write(data); err != nil {
		x.t.Fatal(err)
	}
}

// TestConfigurationNeverGoesBackOverEras guards against an older configuration in force, whatever a restored store lists: rows of several
// eras, old and new, in full reads and changes, and such that cannot be used.
func TestConfigurationNeverGoesBackOverEras(t *testing.T) {
	logger := newLogger(io.Discard, "error", "i")
	rapid.Check(t, func(t *rapid.T) {
		r := relay.New(roster.NewDirectory(), nil, nil, decisionLog{logger: logger}, clockwork.NewFakeClock(), "a", relay.BudgetBounds{})
		f := newConfigurationFollower(nil, r, func() int { return 1 }, noReplicas(), logger)
		highest, now, version := 0, era.Era(0), 0
		t.Repeat(map[string]func(*rapid.T){
			"restore": func(t *rapid.T) {
				now++
				version = rapid.IntRange(0, version).Draw(t, "backup")
			},
			"apply": func(t *rapid.T) {
				version++
				n := rapid.IntRange(1, 9).Draw(t, "configuration")
				row := platform.Row{Key: platform.ConfigurationKey, Version: era.Join(now, version), Value: []byte(platformtest.Configuration(n, "k"))}
				if row.Deleted = rapid.IntRange(0, 5).Draw(t, "deleted") == 0; !row.Deleted {
					highest = max(highest, n)
				}
				f.apply([]platform.Row{row}, rapid.Bool().Draw(t, "full"))
			},
			"": func(t *rapid.T) {
				got := 0
				if table := r.Table(); table != nil {
					got = int(table.Version)
				}
				if got != highest {
					t.Fatalf("configuration %d is in force, want %d", got, highest)
				}
			},
		})
	})
}

package main

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cowslipshunt.example/serving/replication"
	"cowslipshunt.example/serving/roster"
	"github.com/fxamacker/cbor/v2"
)

// TestStoreOutageDoesNotEndService checks that an instance serves requests while the store rejects every call, and applies the
// newest configuration once the store answers again.
func TestStoreOutageDoesNotEndService(t *testing.T) {
	x := startInstance(t, respondDone)
	x.configure(1, "k")
	x.listEndpoint("i-1", "ready")
	served := func() bool {
		status, _ := x.post("1", "k")
		return status == http.StatusOK
	}
	x.eventually("a request that is served", served)
	x.store.Fail(http.StatusServiceUnavailable)
	x.eventually("a log line about the lost store", func() bool { return strings.Contains(x.log.String(), "DependencyLost") })
	if !served() {
		t.Error("a request was not served during the store's outage")
	}
	x.store.DropHistory()
	x.store.Fail(0)
	x.configure(2, "other")
	x.eventually("the configuration that was written before the store answered again", func() bool {
		status, _ := x.post("2", "k")
		return status == http.StatusUnauthorized
	})
}

// maxReconnectTime is the time after an outage from which the platform's contract counts an instance as connected again.
const maxReconnectTime = 3 * time.Second

// maxApplyTime is the platform's bound on the time until a new configuration is in force.
const maxApplyTime = 2 * time.Second

// TestConfigurationAppliesInTimeAfterSilentOutage guards against a late configuration after an outage in which the store accepted
// calls and did not answer. The worst case is an outage that ends just after the instance has begun another call, which has to
// time out first.
func TestConfigurationAppliesInTimeAfterSilentOutage(t *testing.T) {
	x := startInstance(t, respondDone)
	x.configure(1, "k")
	x.eventually("a ready instance", x.ready)
	x.store.Silence(true)
	x.eventually("a log line about the lost store", func() bool { return strings.Contains(x.log.String(), "DependencyLost") })
	calls := x.store.Calls()
	x.eventually("another call", func() bool { return x.store.Calls() > calls })
	x.store.Silence(false)
	x.configure(2, "other")
	changed := time.Now()
	x.eventually("a log line about the store's return", func() bool { return strings.Contains(x.log.String(), "DependencyRegained") })
	if took := time.Since(changed); took+roster.LapseGrace > maxReconnectTime {
		t.Errorf("the store's return was noticed after %v; with the %v in which entries may be listed again this exceeds %v", took, roster.LapseGrace, maxReconnectTime)
	}
	x.eventually("the new configuration", func() bool { return strings.Contains(x.log.String(), `"Version":2`) })
	if took := time.Since(changed); took > maxApplyTime {
		t.Errorf("the configuration was in force after %v, want at most %v", took, maxApplyTime)
	}
}

// TestConfigurationAppliesInTimeAfterOutageOfOneFeed is like TestConfigurationAppliesInTimeAfterSilentOutage, for an outage in which
// the feed of the configuration was opened seconds after that of the endpoints. The store never answers it, also after its return.
func TestConfigurationAppliesInTimeAfterOutageOfOneFeed(t *testing.T) {
	const feedOffset = 2500 * time.Millisecond
	x := startInstance(t, respondDone)
	x.configure(1, "k")
	x.eventually("a ready instance", x.ready)
	<-time.After(feedOffset)
	x.configure(2, "k")
	x.eventually("the configuration that opens another feed", func() bool { return strings.Contains(x.log.String(), `"Version":2`) })
	x.store.Silence(true)
	x.eventually("a log line about the lost store", func() bool { return strings.Contains(x.log.String(), "DependencyLost") })
	x.store.Silence(false)
	x.configure(3, "other")
	changed := time.Now()
	x.eventually("the new configuration", func() bool { return strings.Contains(x.log.String(), `"Version":3`) })
	if took := time.Since(changed); took > maxApplyTime {
		t.Errorf("the configuration was in force after %v, want at most %v", took, maxApplyTime)
	}
}

// TestInstanceBehindItsPeersReadsTheTable guards against a late configuration when the store never answers an open feed call: a peer
// that reports a newer version makes the instance read the table.
func TestInstanceBehindItsPeersReadsTheTable(t *testing.T) {
	x := startInstance(t, respondDone)
	x.configure(1, "k")
	x.eventually("a ready instance", x.ready)
	x.store.LoseFeeds(true)
	x.configure(2, "k")
	x.eventually("a feed call that is not answered", func() bool { return x.store.LostFeeds() > 0 })
	x.configure(3, "other")
	changed := time.Now()
	version := replication.Version(x.store.Version())
	report, err := cbor.Marshal(message{Applied: &appliedVersions{Configuration: version}})
	if err != nil {
		t.Fatal(err)
	}
	peer, err := net.Dial("udp", x.settings.PeerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = peer.Close() }()
	if _, err := peer.Write(report); err != nil {
		t.Fatal(err)
	}
	x.eventually("the new configuration", func() bool { return strings.Contains(x.log.String(), `"Version":3`) })
	if took := time.Since(changed); took > maxApplyTime {
		t.Errorf("the configuration was in force after %v, want at most %v", took, maxApplyTime)
	}
}

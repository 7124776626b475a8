package main

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/serving/membership"
	"cowslipshunt.example/serving/metering"
	"cowslipshunt.example/serving/peerload"
	"cowslipshunt.example/serving/quarantine"
	"cowslipshunt.example/serving/replication"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/shared/lease"
	"cowslipshunt.example/shared/tabletest"
	"cowslipshunt.example/wire"
	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
)

// TestHandoffsAgeByAgreedTime hands counts off between two instances whose agreed time differs from the wall clock by an
// hour. The age of the hand-off must be computed from the agreed time.
func TestHandoffsAgeByAgreedTime(t *testing.T) {
	agreed := time.Now().Add(-time.Hour)
	newInstance := func(name wire.InstanceName, port int) (*peers, *metering.Handoffs) {
		d := roster.NewDirectory()
		self := lease.Identity{Instance: name, Incarnation: wire.IncarnationId(name)}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		handoffs := metering.NewHandoffs(self.Incarnation)
		reporter := peerload.NewReporter(name, self.Incarnation, address, "a", d)
		p, err := newPeers(self, address, reporter, peerload.NewTable(name, d), quarantine.New(clockwork.NewRealClock()), handoffs, func() time.Time { return agreed }, newLogger(io.Discard, "error", name))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.close)
		return p, handoffs
	}
	port := freePort(t)
	_, received := newInstance("receiver", port)
	sender, _ := newInstance("sender", freePort(t))
	sender.setMembers([]membership.Peer{{Address: fmt.Sprintf("127.0.0.1:%d", port), Domain: "a"}})
	sender.HandOff([]metering.Handoff{{Instance: "sender", Incarnation: "sender", Window: 1, Counts: metering.Counts{"w": 3}, Made: agreed.UnixMilli()}})
	for deadline := time.Now().Add(waitTimeout); len(received.All()) == 0; <-time.After(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatal("the hand-off did not arrive")
		}
	}
	written, err := received.Write(t.Context(), tabletest.New(), agreed.Add(6*time.Second))
	if err != nil || len(written) != 1 || written[0].Counts["w"] != 3 {
		t.Errorf("wrote %v for an owner that was silent for 6 s, want its 3 requests: %v", written, err)
	}
}

// newTestPeers returns the peers of an instance that knows one endpoint.
func newTestPeers(t testing.TB) *peers {
	t.Helper()
	d := roster.NewDirectory()
	d.Put(roster.Entry{Key: roster.Key{ID: "i-1", Born: 1}, Service: "s", Domain: "a", Stage: roster.Decode, Slots: 1})
	self := lease.Identity{Instance: "self", Incarnation: "1"}
	address := fmt.Sprintf("127.0.0.1:%d", freePort(t))
	p, err := newPeers(self, address, peerload.NewReporter("self", "1", address, "a", d), peerload.NewTable("self", d), quarantine.New(clockwork.NewRealClock()), metering.NewHandoffs("1"), time.Now, newLogger(io.Discard, "error", "self"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.close)
	p.setFollowers(newFollowers(nil, nil, d, func() int { return 1 }, noReplicas(), p.logger))
	return p
}

// datagramSeeds returns whole datagrams of each kind, and one that is cut.
func datagramSeeds(t testing.TB) [][]byte {
	t.Helper()
	messages := []message{
		{Report: &peerload.Report{From: "peer", Incarnation: "2", Sequence: 1, Address: "127.0.0.1:1", Loads: []peerload.Load{{Endpoint: "i-1", Prefill: 5, InFlight: 1}},
			Sent:    []peerload.SentParts{{Endpoint: "i-1", Parts: []roster.PartID{1}}},
			Changes: []peerload.StageChange{{Endpoint: "i-1", To: roster.Prefill}}, Paused: []wire.EndpointId{"i-1"}}},
		{Handoff: &metering.Handoff{Instance: "peer", Incarnation: "2", Window: 1, Counts: metering.Counts{"w": 1}, Made: 1}},
		{Evidence: &quarantine.Evidence{
			Crashes: []quarantine.Crash{{Endpoint: 1, Parts: []quarantine.PartID{2, 3}, SentAge: 20, FailedAge: 10}},
			Sound:   []quarantine.Sound{{Part: 2, Age: 5}},
			Holds:   []quarantine.Hold{{Parts: []quarantine.PartID{3}, FirstAge: 10, Left: 1000, Level: 1}},
		}},
		{Applied: &appliedVersions{Configuration: 3, Endpoints: 4}},
		{Report: &peerload.Report{From: "peer", Incarnation: "2", Sequence: 2}, Leaving: []peerload.Departure{{Endpoint: "i-1", Born: 1}}},
		{Report: &peerload.Report{From: "peer", Incarnation: "2", Sequence: 3}, Speeds: []peerload.Speed{{Endpoint: "i-1", Permille: 700}}},
		{Update: &replication.Update{Table: platform.ReplicaTable, After: 5, Version: 6, Newest: 6, Changes: []replication.Change{
			{Version: 6, ID: "i-2", Listing: &replication.Listing{Service: "s", Address: "10.0.0.1:80", Domain: "a", Slots: 1, Born: 1}}}}},
	}
	var seeds [][]byte
	for _, m := range messages {
		data, err := cbor.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		seeds = append(seeds, data, data[:len(data)/2])
	}
	return seeds
}

// TestReportsLeaveRoomOnSlowLinks guards against reports that choke an instance's link: with full datagrams to all peers, they must take
// at most a fifth of a link of 10 Mbit/s in a deployment of 90 instances. Each peer must get two before the last one expires, and up to 200
// peers one every half second, as engines are chosen by them.
func TestReportsLeaveRoomOnSlowLinks(t *testing.T) {
	const linkBits, reportLifetime = 10_000_000, 2500 * time.Millisecond
	for _, instances := range []int{8, 30, 90, 200, 400} {
		peers := instances - 1
		delay := reportDelay(peers)
		if bits := float64(8*maxDatagramBytes*peers) / delay.Seconds(); instances <= 90 && bits > linkBits/5 {
			t.Errorf("with %d instances, reports take %.0f bits a second", instances, bits)
		}
		if instances <= 200 && delay > freshReportInterval {
			t.Errorf("with %d instances, a peer gets a report only every %v", instances, delay)
		}
		if 2*delay > reportLifetime {
			t.Errorf("with %d instances, a peer gets a report only every %v", instances, delay)
		}
	}
}

// TestUnchangedLoadIsReportedEverySecond guards against a doubled interval: a peer that gets a report only every two seconds counts this
// instance as gone after one that is lost.
func TestUnchangedLoadIsReportedEverySecond(t *testing.T) {
	p := newTestPeers(t)
	peer, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = peer.Close() }()
	var many []membership.Peer
	for range 200 {
		many = append(many, membership.Peer{Address: peer.LocalAddr().String(), Domain: "a"})
	}
	p.setMembers(many)
	buffer := make([]byte, maxDatagramBytes)
	var last time.Time
	for reports := 0; reports < 4; {
		if err := peer.SetReadDeadline(time.Now().Add(waitTimeout)); err != nil {
			t.Fatal(err)
		}
		if _, _, err := peer.ReadFromUDPAddrPort(buffer); err != nil {
			t.Fatal(err)
		}
		now := time.Now()
		if since := now.Sub(last); !last.IsZero() && since < maxReportInterval/2 {
			continue // another copy of the same report
		} else if !last.IsZero() && since > 3*maxReportInterval/2 {
			t.Errorf("a report came %v after the one before", since)
		}
		last = now
		reports++
	}
}

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/platform/platformtest"
	"cowslipshunt.example/serving/metering"
	"cowslipshunt.example/serving/peerload"
	"cowslipshunt.example/serving/quarantine"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/shared/lease"
	"cowslipshunt.example/wire"
	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
)

// TestEndpointThatSaysItLeavesGetsNoMoreRequests guards against requests to an endpoint that said in an answer that it leaves, while the
// store, which would say so too, is out of reach. Requests that are on the way there when it says so do not count.
func TestEndpointThatSaysItLeavesGetsNoMoreRequests(t *testing.T) {
	var mu sync.Mutex
	leaving := false
	x := startInstance(t, func(r *http.Request, body []byte) (string, bool) {
		mu.Lock()
		defer mu.Unlock()
		response, keepOpen := respondDone(r, body)
		if leaving {
			response = platformtest.Leaving(response)
		}
		return response, keepOpen
	})
	other := platformtest.NewReplica(t, respondDone)
	x.configure(1, "k")
	x.listEndpoint("i-1", "ready")
	x.store.Put(platform.ReplicaTable, "i-2", platformtest.Entry(other.Address, "ready"))
	n := 0
	post := func() int {
		n++
		status, _ := x.post(fmt.Sprint(n), "k")
		return status
	}
	x.eventually("a request at each endpoint", func() bool {
		return post() == http.StatusOK && len(x.endpoint.Headers()) > 0 && len(other.Headers()) > 0
	})
	x.store.Silence(true)
	x.eventually("a log line about the lost store", func() bool { return strings.Contains(x.log.String(), "DependencyLost") })
	mu.Lock()
	leaving = true
	mu.Unlock()
	reached := len(x.endpoint.Headers())
	x.eventually("an answer that says so", func() bool { return post() == http.StatusOK && len(x.endpoint.Headers()) > reached })
	reached = len(x.endpoint.Headers())
	for range 60 {
		if status := post(); status != http.StatusOK {
			t.Errorf("got status %d though the other endpoint works", status)
		}
	}
	if n := len(x.endpoint.Headers()) - reached; n > 0 {
		t.Errorf("%d of 60 requests reached the endpoint after it had said that it leaves", n)
	}
	x.eventually("the line about it", func() bool { return strings.Contains(x.log.String(), `"message":"EndpointLeaving"`) })
}

// TestReportsOfOtherVersionsDecode guards against instances that ignore each other's reports while a new version is rolled out: reports
// carry leaving endpoints in a field of their own, which earlier versions neither send nor know.
func TestReportsOfOtherVersionsDecode(t *testing.T) {
	type oldMessage struct {
		Report  *peerload.Report `cbor:"1,keyasint,omitempty"`
		Applied *appliedVersions `cbor:"3,keyasint,omitempty"`
	}
	report := &peerload.Report{From: "peer", Incarnation: "2", Sequence: 1, Address: "127.0.0.1:1", Loads: []peerload.Load{{Endpoint: "i-1", Prefill: 5, InFlight: 1}}}
	data, err := cbor.Marshal(oldMessage{Report: report})
	if err != nil {
		t.Fatal(err)
	}
	p := newTestPeers(t)
	if p.receive(data); len(p.peerLoads.Peers()) != 1 {
		t.Error("a report of the earlier version was ignored")
	}
	withLeaving := *report
	withLeaving.Leaving = []peerload.Departure{{Endpoint: "i-1", Born: 1}}
	data, err = cbor.Marshal(message{Report: &withLeaving, Leaving: withLeaving.Leaving})
	if err != nil {
		t.Fatal(err)
	}
	var old oldMessage
	if err := cbor.Unmarshal(data, &old); err != nil || old.Report.Loads[0].Prefill != 5 {
		t.Errorf("the earlier version decodes %+v, %v", old.Report, err)
	}
}

// TestPeersExchangeLeavingEndpoints guards against the loss of leaving endpoints between two instances: it passes a report through the
// socket of the receiver.
func TestPeersExchangeLeavingEndpoints(t *testing.T) {
	d := roster.NewDirectory()
	k := roster.Key{ID: "i-1", Born: 1}
	d.Put(roster.Entry{Key: k, Service: "s", Domain: "a", Slots: 1})
	self := lease.Identity{Instance: "receiver", Incarnation: "1"}
	address := fmt.Sprintf("127.0.0.1:%d", freePort(t))
	receiver, err := newPeers(self, address, peerload.NewReporter("receiver", "1", address, "a", d), peerload.NewTable("receiver", d), quarantine.New(clockwork.NewRealClock()),
		metering.NewHandoffs("1"), time.Now, newLogger(io.Discard, "error", "receiver"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(receiver.close)
	sender := newTestPeers(t)
	report := peerload.Report{From: "sender", Incarnation: "1", Sequence: 1, Leaving: []peerload.Departure{{Endpoint: k.ID, Born: k.Born}}}
	waitFor(t, "the leaving endpoint", func() bool {
		report.Sequence++
		sender.broadcast(report, nil, []string{address})
		return d.View().All()["i-1"].Leaving()
	})
}

// TestFullReportWithLeavingEndpointsFitsADatagram guards against reports that are not sent at all when many endpoints leave at once.
func TestFullReportWithLeavingEndpointsFitsADatagram(t *testing.T) {
	r := peerload.Report{From: "front-qld-a-1", Incarnation: "0190d2ee-6a2b-7d3e-8a53-0c9d1f6b2a77", Sequence: 1 << 40, Address: "10.11.12.13:45678", Domain: "qld-a"}
	for i := range 64 {
		id := wire.EndpointId(fmt.Sprintf("i-%010x", i))
		r.Loads = append(r.Loads, peerload.Load{Endpoint: id, Prefill: 100000, InFlight: 100})
		r.Paused = append(r.Paused, id)
		if i < 16 {
			r.Leaving = append(r.Leaving, peerload.Departure{Endpoint: id, Born: time.Now().UnixMilli()})
		}
	}
	sent := false
	for !sent {
		data, err := cbor.Marshal(message{Report: &r, Leaving: r.Leaving})
		if err != nil {
			t.Fatal(err)
		}
		if sent = len(data) <= maxDatagramBytes; !sent && len(r.Loads) == 0 {
			t.Fatalf("a report without loads takes %d bytes", len(data))
		}
		r = r.Shortened()
	}
}

// TestEndpointNoticesAreCountedBySource guards against a log that does not say who told the instance that an endpoint leaves.
func TestEndpointNoticesAreCountedBySource(t *testing.T) {
	output := &logBuffer{}
	d := decisionLog{logger: newLogger(output, "debug", "i")}
	d.logLeavingByPeer(roster.Key{ID: "i-1", Born: 7}, "peer-1")
	waitFor(t, "the line", func() bool {
		return strings.Contains(output.String(), `"Endpoint":"i-1","Born":7,"Source":"peer","Peer":"peer-1","message":"EndpointLeaving"`)
	})
}

package main

import (
	"fmt"
	"net"
	"testing"
	"time"

	"cowslipshunt.example/serving/metering"
	"cowslipshunt.example/serving/peerload"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
	"github.com/fxamacker/cbor/v2"
)

// TestSamplesOfSpeedsAreDroppedBeforeLoads guards against a report that loses loads, by which engines are chosen, to make room for samples of
// engines' speeds.
func TestSamplesOfSpeedsAreDroppedBeforeLoads(t *testing.T) {
	p := newTestPeers(t)
	peer, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = peer.Close() }()
	for _, loads := range []int{2, 80} {
		report := peerload.Report{From: "self", Incarnation: "1", Sequence: 1}
		for i := range loads {
			report.Loads = append(report.Loads, peerload.Load{Endpoint: wire.EndpointId(fmt.Sprintf("engine-%04d", i)), Prefill: 1000, InFlight: 1})
		}
		for range 6 {
			report.Speeds = append(report.Speeds, peerload.Speed{Endpoint: "i-1", Permille: 700})
		}
		p.broadcast(report, nil, []string{peer.LocalAddr().String()})
		if err := peer.SetReadDeadline(time.Now().Add(waitTimeout)); err != nil {
			t.Fatal(err)
		}
		buffer := make([]byte, maxHandoffBytes)
		n, _, err := peer.ReadFromUDPAddrPort(buffer)
		if err != nil {
			t.Fatal(err)
		}
		var m message
		if err := cbor.Unmarshal(buffer[:n], &m); err != nil {
			t.Fatal(err)
		}
		if m.Report == nil || n > maxDatagramBytes || len(m.Report.Loads) != loads || (len(m.Speeds) == 6) != (loads == 2) {
			t.Errorf("%d loads: a datagram of %d bytes has %d samples", loads, n, len(m.Speeds))
		}
	}
}

// TestSpeedsArriveWithReports checks that a datagram's samples count for the receiver's endpoints.
func TestSpeedsArriveWithReports(t *testing.T) {
	d := roster.NewDirectory()
	d.Put(roster.Entry{Key: roster.Key{ID: "i-1", Born: 1}, Service: "s", Domain: "a", Stage: roster.Prefill, Slots: 1})
	p := &peers{peerLoads: peerload.NewTable("self", d), handoffs: metering.NewHandoffs("1"), restores: newRestores()}
	m := message{Report: &peerload.Report{From: "peer", Incarnation: "2", Sequence: 1}}
	for range 6 {
		m.Speeds = append(m.Speeds, peerload.Speed{Endpoint: "i-1", Permille: 700})
	}
	data, err := cbor.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	p.receive(data)
	if f := d.View().All()["i-1"].Speed(time.Now()); f != 0.7 {
		t.Errorf("the endpoint has the speed %v, want that of the samples, 0.7", f)
	}
}

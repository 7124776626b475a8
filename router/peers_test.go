package main

import (
	"fmt"
	"io"
	"testing"
	"time"

	"cowslipshunt.example/serving/metering"
	"cowslipshunt.example/serving/peerload"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/shared/lease"
	"cowslipshunt.example/shared/tabletest"
	"cowslipshunt.example/wire"
)

// TestHandoffsGrowOldByTheAgreedTime hands counts off between two instances whose time of day is an hour off.
func TestHandoffsGrowOldByTheAgreedTime(t *testing.T) {
	agreed := time.Now().Add(-time.Hour)
	exchange := func(name wire.InstanceName, port int) (*peers, *metering.Handoffs) {
		d := roster.NewDirectory()
		self := lease.Identity{Instance: name, Incarnation: wire.IncarnationId(name)}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		handoffs := metering.NewHandoffs(self.Incarnation)
		reporter := peerload.NewReporter(name, self.Incarnation, address, d)
		p, err := newPeers(self, address, reporter, peerload.NewBoard(name, d), handoffs, func() time.Time { return agreed }, newLogger(io.Discard, "error", name))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.close)
		return p, handoffs
	}
	port := freePort(t)
	_, taken := exchange("taker", port)
	giver, _ := exchange("giver", freePort(t))
	giver.setAddresses([]string{fmt.Sprintf("127.0.0.1:%d", port)})
	giver.HandOff([]metering.Handoff{{Instance: "giver", Incarnation: "giver", Window: 1, Counts: metering.Counts{"w": 3}, Made: agreed.UnixMilli()}})
	for deadline := time.Now().Add(within); len(taken.All()) == 0; <-time.After(look) {
		if time.Now().After(deadline) {
			t.Fatal("the hand-off did not arrive")
		}
	}
	written, err := taken.Write(t.Context(), tabletest.New(), agreed.Add(6*time.Second))
	if err != nil || len(written) != 1 || written[0].Counts["w"] != 3 {
		t.Errorf("wrote %v for an owner that was silent for 6 s: %v", written, err)
	}
}

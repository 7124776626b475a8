package main

import (
	"context"
	"testing"
	"time"

	"cowslipshunt.example/serving/membership"
	"cowslipshunt.example/serving/peerload"
	"cowslipshunt.example/shared/tabletest"
	"cowslipshunt.example/wire"
)

// countingTable counts the reads of a table.
type countingTable struct {
	*tabletest.Table
	reads int
}

func (c *countingTable) Range(ctx context.Context, table, from, to string) ([]wire.Row, error) {
	c.reads++
	return c.Table.Range(ctx, table, from, to)
}

// TestMembersAreReadOnlyWhileTheyDifferFromThePeersHeard guards against a read by each of hundreds of instances every few seconds.
func TestMembersAreReadOnlyWhileTheyDifferFromThePeersHeard(t *testing.T) {
	table := &countingTable{Table: tabletest.New()}
	register := func(name, address string) *membership.Registration {
		return membership.NewRegistration(table, wire.InstanceName(name), "a", address, time.Now)
	}
	if _, err := register("peer", "10.0.0.2:1").Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	p := newTestPeers(t)
	m := &members{registration: register("self", "10.0.0.1:1"), peers: p, logger: p.logger}
	refresh := func(wantReads int, why string) {
		t.Helper()
		before := table.reads
		if err := m.refresh(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got := table.reads - before; got != wantReads {
			t.Errorf("%s: the members were read %d times, want %d", why, got, wantReads)
		}
	}
	refresh(1, "first refresh")
	refresh(1, "second refresh")
	refresh(1, "the peer is not heard")
	p.peerLoads.Apply(peerload.Report{From: "peer", Incarnation: "2", Sequence: 1, Address: "10.0.0.2:1"}, time.Now())
	refresh(0, "the peer is heard")
	p.peerLoads.Apply(peerload.Report{From: "other", Incarnation: "3", Sequence: 1, Address: "10.0.0.3:1"}, time.Now())
	refresh(1, "another peer is heard")
	if rows := table.Rows(membership.TableName, ""); len(rows) != 2 {
		t.Errorf("%d rows, want 2", len(rows))
	}
}

package peerload_test

import (
	"testing"

	"cowslipshunt.example/serving/peerload"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
)

// TestPeersLearnSpeedsFromReports checks that an instance learns an engine's speed from a peer's samples. One instance of a large deployment sees
// too few prefills of each engine.
func TestPeersLearnSpeedsFromReports(t *testing.T) {
	d := roster.NewDirectory()
	d.Put(roster.Entry{Key: roster.Key{ID: "e", Born: 1}, Service: "s"})
	var changes []wire.InstanceName
	table := peerload.NewTable("self", d, peerload.WithSpeed(func(_ *roster.Endpoint, from wire.InstanceName) { changes = append(changes, from) }))
	reporter := peerload.NewReporter("peer", "1", "127.0.0.1:1", "a", roster.NewDirectory())
	for range 20 {
		reporter.RecordSpeed("e", 1.7)
		reporter.RecordSpeed("unknown", 0.5)
	}
	report, _ := reporter.Next(now)
	if len(report.Speeds) != 6 {
		t.Fatalf("a report has %d samples, want the newest 6", len(report.Speeds))
	}
	table.Apply(report, now)
	reporter.RecordSpeed("e", 1.7)
	for range 3 {
		reporter.RecordSpeed("e", 1.7)
	}
	report, _ = reporter.Next(now)
	table.Apply(report, now)
	e := d.View().All()["e"]
	if e.Speed(now) != 1.7 || len(changes) != 1 || changes[0] != "peer" {
		t.Errorf("the speed is %v after the changes %v", e.Speed(now), changes)
	}
	if report, _ = reporter.Next(now); len(report.Speeds) != 0 {
		t.Error("samples are reported twice")
	}
}

// TestSamplesMakeReportNew guards against samples that are lost under low load: a report that has nothing new may not be sent, and a prefill that
// ended between two reports changes no load.
func TestSamplesMakeReportNew(t *testing.T) {
	reporter := peerload.NewReporter("peer", "1", "127.0.0.1:1", "a", roster.NewDirectory())
	reporter.RecordSpeed("e", 1.7)
	if report, changed := reporter.Next(now); !changed || len(report.Speeds) != 1 {
		t.Errorf("a report with the samples %v counts as changed: %v", report.Speeds, changed)
	}
	if _, changed := reporter.Next(now); changed {
		t.Error("a report without samples counts as changed")
	}
}

// TestFalseSamplesOfPeersAreBounded guards against reports of other versions with samples that are not positive or too many.
func TestFalseSamplesOfPeersAreBounded(t *testing.T) {
	d := roster.NewDirectory()
	d.Put(roster.Entry{Key: roster.Key{ID: "e", Born: 1}, Service: "s"})
	table := peerload.NewTable("self", d)
	r := peerload.Report{From: "peer", Incarnation: "1"}
	for i := range 100 {
		r.Speeds = append(r.Speeds, peerload.Speed{Endpoint: "e", Permille: (i%3 - 1) << 62})
	}
	for range 30 {
		r.Sequence++
		table.Apply(r, now)
	}
	if f := d.View().All()["e"].Speed(now); f < 1.0/8 || f > 8 {
		t.Errorf("the speed is %v", f)
	}
}

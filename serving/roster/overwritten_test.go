package roster_test

import (
	"testing"
	"time"

	"cowslipshunt.example/serving/roster"
)

// heartbeat is the interval at which endpoints write their entries in these tests.
const heartbeat = time.Second

// TestOverwrittenEntryLapses guards against an endpoint that stays listed for good after it has ended, as an unusable entry stands under its
// id, and against one that is removed before it could write its entry again.
func TestOverwrittenEntryLapses(t *testing.T) {
	d := roster.NewDirectory(roster.WithHeartbeat(heartbeat))
	d.Put(entry("a", 1))
	d.Put(entry("b", 1))
	d.Overwritten("a", start)
	d.Overwritten("b", start)
	d.Overwritten("unknown", start)
	late := start.Add(3*heartbeat - 1)
	d.Overwritten("a", late)
	if removed := d.DropSilent(late); len(removed) > 0 || !isAvailable(d, "a", late) {
		t.Errorf("%v were removed before three heartbeat intervals", removed)
	}
	d.Put(entry("b", 1))
	late = start.Add(3 * heartbeat)
	if removed := d.DropSilent(late); len(removed) != 1 || removed[0] != "a" || !isAvailable(d, "b", late) {
		t.Errorf("%v were removed after three heartbeat intervals, want a", removed)
	}
	if len(d.View().All()) != 1 {
		t.Errorf("%d endpoints are listed, want 1", len(d.View().All()))
	}
}

// TestOverwrittenEntryWithoutHeartbeatStays guards against the removal of endpoints where the interval of their heartbeats is not known.
func TestOverwrittenEntryWithoutHeartbeatStays(t *testing.T) {
	d := roster.NewDirectory()
	d.Put(entry("a", 1))
	d.Overwritten("a", start)
	if removed := d.DropSilent(start.Add(time.Hour)); len(removed) > 0 {
		t.Errorf("%v were removed", removed)
	}
}

// TestOverwrittenEntryLapsesAfterAnOutage guards against the removal of an endpoint that could not write its entry again as the store was
// down, and against an unusable entry that renews one that has lapsed.
func TestOverwrittenEntryLapsesAfterAnOutage(t *testing.T) {
	d := roster.NewDirectory(roster.WithHeartbeat(heartbeat))
	d.Put(entry("a", 1))
	d.Put(entry("b", 1))
	d.Overwritten("a", start)
	d.StoreLost()
	d.Remove("b", start)
	d.Overwritten("b", start)
	now := start.Add(time.Minute)
	if removed := d.DropSilent(now); len(removed) > 0 || !isAvailable(d, "a", now) {
		t.Errorf("%v were removed during the outage", removed)
	}
	d.StoreRegained(now)
	if removed := d.DropSilent(now); len(removed) > 0 {
		t.Errorf("%v were removed in the grace period", removed)
	}
	now = now.Add(roster.LapseGrace)
	if removed := d.DropLapsed(now); len(removed) != 2 {
		t.Errorf("%v were removed after the grace period, want both", removed)
	}
}

// TestEngineKeepsItsStage guards against an entry without a stage that replaces that of an engine of the same service.
func TestEngineKeepsItsStage(t *testing.T) {
	d := roster.NewDirectory()
	engine := entry("a", 1)
	engine.Stage = roster.Prefill
	d.Put(engine)
	if err := d.CheckReplacement(entry("a", 2)); err == nil {
		t.Error("an entry without a stage may replace that of an engine")
	}
	engine.Stage = roster.Decode
	other := entry("a", 2)
	other.Service = "other"
	for _, e := range []roster.Entry{engine, other, entry("b", 1)} {
		if err := d.CheckReplacement(e); err != nil {
			t.Errorf("%+v: %v", e, err)
		}
	}
}

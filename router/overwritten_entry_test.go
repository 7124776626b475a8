package main

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/platform/platformtest"
	"cowslipshunt.example/serving/replication"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
	"pgregory.net/rapid"
)

// belief is what an instance believes of an endpoint.
type belief struct {
	entry           roster.Entry
	leaving, paused bool
}

func beliefs(d *roster.Directory, now time.Time) map[wire.EndpointId]belief {
	all := map[wire.EndpointId]belief{}
	for id, e := range d.View().All() {
		_, paused := e.PauseRequested(now)
		all[id] = belief{entry: *e.Entry(), leaving: e.Leaving(), paused: paused}
	}
	return all
}

// drawOddEntry draws an entry that differs from a sound one by its service and start, and in which some fields are missing, of another type
// or out of range.
func drawOddEntry(t *rapid.T, isEngine bool) string {
	fields := platformtest.EntryFields("10.0.0.2:80", rapid.Int64Range(1, 3).Draw(t, "born"), isEngine)
	odd := rapid.SliceOfNDistinct(rapid.SampledFrom(fields.Names()), 1, -1, rapid.ID[string]).Draw(t, "odd")
	if !slices.Equal(slices.Sorted(slices.Values(odd)), []string{"models", "stage"}) {
		fields.MoveTo(rapid.SampledFrom([]string{"s", "other"}).Draw(t, "service"))
	}
	if rapid.Bool().Draw(t, "draining") {
		fields.Drain()
	}
	for _, name := range odd {
		if rapid.Bool().Draw(t, "missing") {
			delete(fields, name)
		} else {
			fields[name] = rapid.SampledFrom(platformtest.OddValues(name)).Draw(t, "value")
		}
	}
	return fields.Entry()
}

// TestOddEntryChangesNoBelief guards against an entry of another writer, with fields that are missing, of another type or out of range, that
// changes what is believed of an endpoint: its service, incarnation, failure domain or stage, that it leaves, or a pause that it asked for. The
// sound entries beside it hold, and its updates to other instances change as little.
func TestOddEntryChangesNoBelief(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		d, receiver := roster.NewDirectory(), roster.NewDirectory()
		logger := newLogger(io.Discard, "error", "i")
		f := newEndpointFollower(nil, d, func() int { return 1 }, noReplicas(), logger)
		sound := map[string]platform.Row{}
		row := func(key, value string) platform.Row {
			return platform.Row{Key: key, Version: len(sound) + 1, Value: []byte(value)}
		}
		for i := range 3 {
			isEngine := rapid.Bool().Draw(t, "engine")
			fields := platformtest.EntryFields("10.0.0.1:80", rapid.Int64Range(1, 3).Draw(t, "born"), isEngine)
			if rapid.Bool().Draw(t, "draining") {
				fields.Drain()
			}
			id := fmt.Sprint("i-", i)
			sound[id] = row(id, fields.Entry())
		}
		applyEndpoints(f.apply(slices.Collect(maps.Values(sound)), true), receiver, logger)
		for _, e := range d.View().All() {
			if rapid.Bool().Draw(t, "says that it leaves") {
				e.MarkLeaving()
			}
			if rapid.Bool().Draw(t, "asks for a pause") {
				e.MarkPauseRequested(now, time.Minute)
			}
		}
		before, receiverBefore := beliefs(d, now), beliefs(receiver, now)
		var rows []platform.Row
		for _, id := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"i-0", "i-1", "i-9"}), rapid.ID[string]).Draw(t, "overwritten") {
			isEngine := d.View().All()[wire.EndpointId(id)] == nil || d.View().All()[wire.EndpointId(id)].Entry().Stage != roster.NoStage
			rows = append(rows, row(id, drawOddEntry(t, isEngine)))
		}
		full := rapid.Bool().Draw(t, "whole table")
		if full {
			for id, r := range sound {
				if !slices.ContainsFunc(rows, func(x platform.Row) bool { return x.Key == id }) {
					rows = append(rows, r)
				}
			}
		}
		next := platformtest.EntryFields("10.0.0.3:80", 7, false)
		rows = append(rows, row("i-next", next.Entry()))
		applyEndpoints(f.apply(rows, full), receiver, logger)
		for name, x := range map[string]struct {
			d      *roster.Directory
			before map[wire.EndpointId]belief
		}{"the reader": {d, before}, "a receiver": {receiver, receiverBefore}} {
			after := beliefs(x.d, now)
			if e, listed := after["i-next"]; !listed || e.entry.Born != 7 {
				t.Fatalf("%s: the sound entry beside them is not listed: %+v", name, after)
			}
			delete(after, "i-next")
			// An engine of which nothing is known may be listed without its stage and models, as an endpoint that is none.
			if e := after["i-9"]; e.entry.Stage == roster.NoStage && e.entry.Service == "s" {
				delete(after, "i-9")
			}
			if !maps.Equal(after, x.before) {
				t.Fatalf("%s: %s changed %+v to %+v", name, rows[0].Value, x.before, after)
			}
		}
	})
}

// TestEntryOfAnotherWriterMovesNoEndpoint guards against requests of a non-idempotent route that reach an endpoint of another service, as
// another writer has left an entry under its id that names that service and lacks fields.
func TestEntryOfAnotherWriterMovesNoEndpoint(t *testing.T) {
	x := startInstance(t, respondDone)
	foreign := platformtest.NewReplica(t, respondDone)
	x.configure(1, "k")
	x.listEndpoint("i-1", "ready")
	x.store.Put(platform.ReplicaTable, "o-1", platformtest.EntryOf("other", "", foreign.Address))
	x.eventually("a ready instance", x.ready)
	x.eventually("listed endpoints", func() bool { return strings.Count(x.log.String(), `"message":"Endpoint"`) == 2 })
	type oddEntry struct{ missing, entry string }
	entries := []oddEntry{{"all that does not say where requests go", platformtest.ShortEntry(foreign.Address)}}
	for _, name := range platformtest.EntryFields(foreign.Address, 1, false).Names() {
		fields := platformtest.EntryFields(foreign.Address, 1, false)
		delete(fields, name)
		entries = append(entries, oddEntry{name, fields.Entry()})
	}
	for n, odd := range entries {
		x.store.Put(platform.ReplicaTable, "o-1", odd.entry)
		x.eventually("an instance that has read the entry", func() bool {
			return countLines(x.log, "EndpointRejected") > n || countLines(x.log, "Endpoint") > 2
		})
		for i := range 8 {
			if status, body := x.post(fmt.Sprint(n, "-", i), "k"); status != http.StatusOK {
				t.Errorf("without %s: got status %d and %q though the endpoint works", odd.missing, status, body)
			}
		}
		if reached := len(foreign.Headers()); reached > 0 {
			t.Fatalf("without %s: %d requests reached the endpoint of the other service", odd.missing, reached)
		}
	}
}

// TestEntryOfAnotherWriterRenewsNothing guards against an endpoint that stays listed for good, as an unusable entry stands under its id after
// it has ended, and against one that is removed though it writes its entry again.
func TestEntryOfAnotherWriterRenewsNothing(t *testing.T) {
	store := platformtest.NewStore(t)
	d, output := roster.NewDirectory(roster.WithHeartbeat(50*time.Millisecond)), &logBuffer{}
	f := newEndpointFollower(platform.NewStore(store.Address, nil), d, func() int { return 1 }, noReplicas(), newLogger(output, "info", "i"))
	for _, id := range []string{"i-1", "i-2"} {
		store.Put(platform.ReplicaTable, id, platformtest.Entry("10.0.0.1:80", "ready"))
	}
	go f.run(t.Context())
	waitFor(t, "the list", func() bool { return len(d.View().All()) == 2 })
	odd := platformtest.OddEntries()["without born"]
	store.Put(platform.ReplicaTable, "i-1", odd)
	store.Put(platform.ReplicaTable, "i-2", odd)
	waitFor(t, "lines about both", func() bool { return countLines(output, "EndpointRejected") == 2 })
	if n := len(d.View().All()); n != 2 {
		t.Fatalf("%d endpoints are listed after the unusable entries, want 2", n)
	}
	for n := 0; ; n++ {
		store.Put(platform.ReplicaTable, "i-2", strings.Replace(platformtest.Entry("10.0.0.1:80", "ready"), `"sequence":4`, fmt.Sprintf(`"sequence":%d`, n), 1))
		store.Put(platform.ReplicaTable, "i-1", odd)
		applied := replication.Version(store.Version())
		waitFor(t, "a follower that has read it", func() bool { return f.lag.Changed() >= applied })
		if d.View().All()["i-2"] == nil {
			t.Fatal("the endpoint that writes its entry again is not listed")
		}
		if d.View().All()["i-1"] == nil {
			break
		}
		if n > 10_000 {
			t.Fatal("the endpoint that has ended stays listed")
		}
	}
}

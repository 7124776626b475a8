package main

import (
	"context"
	"encoding/json"
	"strings"
	"testing"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/platform/platformtest"
	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/roster"
	"github.com/jonboulle/clockwork"
)

// TestOddRowsAreLoggedOnceAndStopNoFollower guards against odd rows of another writer that end the process, hide the rows of endpoints,
// stop the following of the table, or fill the log at each read.
func TestOddRowsAreLoggedOnceAndStopNoFollower(t *testing.T) {
	const reads = 4
	store := platformtest.NewStore(t)
	odd := platformtest.OddEntries()
	store.Put(platform.ReplicaTable, "i-a", platformtest.Entry("10.0.0.1:80", "ready"))
	for name, value := range odd {
		store.Put(platform.ReplicaTable, "odd "+name, value)
	}
	store.Put(platform.ReplicaTable, "z-a", platformtest.Entry("10.0.0.2:80", "ready"))
	d, output := roster.NewDirectory(), &logBuffer{}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f := newEndpointFollower(platform.NewStore(store.Address, nil), d, func() int { return 1 }, noReplicas(), newLogger(output, "info", "i"))
	go f.run(ctx)
	lists := func(id string, want bool) {
		t.Helper()
		waitFor(t, "the list with or without "+id, func() bool {
			all := d.View().All()
			_, listed := all["i-a"]
			_, last := all["z-a"]
			changed := false
			for known := range all {
				changed = changed || string(known) == id
			}
			return listed && last && changed == want
		})
	}
	lists("none", false)
	waitFor(t, "the lines about the first rows", func() bool { return countLines(output, "EndpointRejected") == len(odd) })
	for range reads {
		store.Put(platform.ReplicaTable, "i-b", platformtest.Entry("10.0.0.3:80", "ready"))
		lists("i-b", true)
		reread(t, f)
		rejected := countLines(output, "EndpointRejected")
		store.Put(platform.ReplicaTable, "i-b", odd["very deeply nested"])
		waitFor(t, "the line about the endpoint's row", func() bool { return countLines(output, "EndpointRejected") == rejected+1 })
		reread(t, f)
		lists("i-b", true)
		store.Delete(platform.ReplicaTable, "i-b")
		lists("i-b", false)
	}
	if n := len(d.View().All()); n != 2 {
		t.Errorf("%d endpoints are listed, want 2", n)
	}
	waitFor(t, "the lines about all rows", func() bool { return countLines(output, "EndpointRejected") >= len(odd)+reads })
	for name := range odd {
		lines := 0
		for line := range strings.SplitSeq(output.String(), "\n") {
			if key := jsonString("odd " + name); strings.Contains(line, `"Key":`+key) || strings.Contains(line, `"Endpoint":`+key) {
				lines++
			}
		}
		if lines != 1 {
			t.Errorf("%s: %d lines, want 1", name, lines)
		}
	}
	if countLines(output, "Panicked") > 0 {
		t.Errorf("the follower panicked: %.2000s", output.String())
	}
}

// TestOddConfigurationKeepsTheOneInForce guards against an odd row in place of the configuration, and next to it, that ends the process,
// takes the configuration out of force or fills the log.
func TestOddConfigurationKeepsTheOneInForce(t *testing.T) {
	store := platformtest.NewStore(t)
	store.Put(platform.OperatorTable, platform.ConfigurationKey, platformtest.Configuration(1, "k"))
	output := &logBuffer{}
	logger := newLogger(output, "info", "i")
	r := relay.New(roster.NewDirectory(), nil, nil, decisionLog{logger: logger}, clockwork.NewRealClock(), "a", relay.BudgetBounds{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f := newConfigurationFollower(platform.NewStore(store.Address, nil), r, func() int { return 1 }, noReplicas(), logger)
	go f.run(ctx)
	waitFor(t, "the first configuration", func() bool { return r.Table() != nil })
	for name, odd := range platformtest.OddEntries() {
		store.Put(platform.OperatorTable, "odd "+name, odd)
	}
	odd := []string{strings.Repeat("[", 1_000_000), `{"version":1e400}`, `{"version":2,"routes":[[]]}`, "\xff"}
	for _, odd := range odd {
		store.Put(platform.OperatorTable, platform.ConfigurationKey, odd)
		waitFor(t, "a follower that has read the row", func() bool { return int(f.lag.Changed()) == store.Version() })
		reread(t, f)
		if v := r.Table().Version; v != 1 {
			t.Errorf("version %d is in force", v)
		}
	}
	store.Put(platform.OperatorTable, platform.ConfigurationKey, platformtest.Configuration(3, "k"))
	waitFor(t, "the next configuration", func() bool { return r.Table().Version == 3 })
	if n := countLines(output, "ConfigurationRejected"); n != len(odd) {
		t.Errorf("%d lines about %d odd configurations", n, len(odd))
	}
}

// reread makes a follower read its whole table again.
func reread(t *testing.T, f *follower) {
	t.Helper()
	f.setSynced(false)
	f.interrupt("test")
	waitFor(t, "a follower that has read the table", func() bool { _, synced := f.position(); return synced })
}

// countLines counts the lines of a log with a message.
func countLines(output *logBuffer, message string) int {
	return strings.Count(output.String(), `"message":"`+message+`"`)
}

// jsonString returns a text as a JSON string.
func jsonString(s string) string {
	data, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return string(data)
}

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/platform/platformtest"
	"cowslipshunt.example/serving/membership"
	"cowslipshunt.example/serving/roster"
)

// TestBurstOfChangesCostsFewCalls is the pattern of a large deployment: many endpoints of one failure domain come within a second,
// while dozens of instances follow the table.
func TestBurstOfChangesCostsFewCalls(t *testing.T) {
	const instances, changes, apart = 80, 50, 20 * time.Millisecond
	store := platformtest.NewStore(t)
	d := roster.NewDirectory()
	client := platform.NewStore(store.Address, nil)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	alive := func() int { return instances }
	go followReplicas(client, d, alive, newLogger(io.Discard, "error", "i")).run(ctx)
	listed := func(n int) bool { return len(d.View().All()) == n }
	ticker := time.NewTicker(apart)
	defer ticker.Stop()
	began := time.Now()
	for i := range changes {
		store.Put(platform.ReplicaTable, fmt.Sprint("i-", i), platformtest.Entry("10.0.0.1:80", "ready"))
		<-ticker.C
	}
	for deadline := time.Now().Add(within); !listed(changes); <-ticker.C {
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d endpoints are listed", len(d.View().All()), changes)
		}
	}
	// The first read and feed and the last feed come on top.
	share := time.Since(began).Seconds() / membership.BatchDelay(instances).Seconds()
	if calls := store.Calls(); float64(calls) > share+3 {
		t.Errorf("%d changes within %v cost an instance %d calls, its share is %.1f", changes, time.Since(began), calls, share)
	}
}

// TestStoreThatRejectsCallsGetsFew is an outage of a large deployment's store, which refuses each call at once.
func TestStoreThatRejectsCallsGetsFew(t *testing.T) {
	const instances, outage = 80, 4 * time.Second
	store := platformtest.NewStore(t)
	store.Fail(http.StatusServiceUnavailable)
	client := platform.NewStore(store.Address, nil)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	alive := func() int { return instances }
	go followReplicas(client, roster.NewDirectory(), alive, newLogger(io.Discard, "error", "i")).run(ctx)
	<-time.After(outage)
	// The backoff doubles from the first to the longest: five calls come before that.
	share := outage.Seconds() / membership.MaxBackoff(instances, 0).Seconds()
	if calls := store.Calls(); float64(calls) > share+5 {
		t.Errorf("an instance made %d calls within %v, its share is %.1f", calls, outage, share)
	}
}

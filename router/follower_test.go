package main

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/platform/platformtest"
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
	gather := func() time.Duration { return gatherTime(instances) }
	go followReplicas(client, d, gather, newLogger(io.Discard, "error", "i")).run(ctx)
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
	// All instances together may make feedsPerSecond calls; the first read and feed and the last feed come on top.
	share := time.Since(began).Seconds() * feedsPerSecond / instances
	if calls := store.Calls(); float64(calls) > share+3 {
		t.Errorf("%d changes within %v cost an instance %d calls, its share is %.1f", changes, time.Since(began), calls, share)
	}
}

func TestChangesGatherForAFractionOfTheBounds(t *testing.T) {
	for instances, want := range map[int]time.Duration{1: 6250 * time.Microsecond, 8: 50 * time.Millisecond, 80: 500 * time.Millisecond, 400: 500 * time.Millisecond} {
		if got := gatherTime(instances); got != want {
			t.Errorf("%d instances gather for %v, want %v", instances, got, want)
		}
	}
}

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
	"cowslipshunt.example/serving/replication"
	"cowslipshunt.example/serving/roster"
)

// TestBurstOfChangesIsReadInBatches guards against overloading the store in a large deployment: when many endpoints of one failure
// domain are listed in a second, each of dozens of instances must read them in batches, not with a call for each change.
func TestBurstOfChangesIsReadInBatches(t *testing.T) {
	const instances, changes, interval = 80, 50, 20 * time.Millisecond
	store := platformtest.NewStore(t)
	d := roster.NewDirectory()
	client := platform.NewStore(store.Address, nil)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	liveInstances := func() int { return instances }
	go newEndpointFollower(client, d, liveInstances, noReplicas(), newLogger(io.Discard, "error", "i")).run(ctx)
	listed := func(n int) bool { return len(d.View().All()) == n }
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	began := time.Now()
	for i := range changes {
		store.Put(platform.ReplicaTable, fmt.Sprint("i-", i), platformtest.Entry("10.0.0.1:80", "ready"))
		<-ticker.C
	}
	for deadline := time.Now().Add(waitTimeout); !listed(changes); <-ticker.C {
		if time.Now().After(deadline) {
			t.Fatalf("%d endpoints are listed, want %d", len(d.View().All()), changes)
		}
	}
	// The first read, the first feed and the last feed are not delayed by BatchDelay.
	batches := time.Since(began).Seconds() / membership.BatchDelay(instances).Seconds()
	if calls := store.Calls(); float64(calls) > batches+3 {
		t.Errorf("%d changes in %v cost an instance %d calls, want at most %.1f plus 3", changes, time.Since(began), calls, batches)
	}
}

// TestRejectedStoreCallsBackOff guards against overloading a store that rejects every call at once during an outage of a large
// deployment: each instance has to back off.
func TestRejectedStoreCallsBackOff(t *testing.T) {
	const instances, outage = 80, 4 * time.Second
	store := platformtest.NewStore(t)
	store.Fail(http.StatusServiceUnavailable)
	client := platform.NewStore(store.Address, nil)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	liveInstances := func() int { return instances }
	go newEndpointFollower(client, roster.NewDirectory(), liveInstances, noReplicas(), newLogger(io.Discard, "error", "i")).run(ctx)
	<-time.After(outage)
	// The back-off doubles from the first to the longest value, which takes five calls.
	retries := outage.Seconds() / membership.MaxBackoff(instances, 0).Seconds()
	if calls := store.Calls(); float64(calls) > retries+5 {
		t.Errorf("an instance made %d calls in %v, want at most %.1f plus 5", calls, outage, retries)
	}
}

// TestReceiversBackOffLongerDuringAnOutage guards against overloading a store that rejects every call: in a large deployment only the
// readers find out when the store answers again, and their updates wake the receivers.
func TestReceiversBackOffLongerDuringAnOutage(t *testing.T) {
	const outage, maxSilence = 5 * time.Second, 2 * time.Second
	store := platformtest.NewStore(t)
	store.Put(platform.ReplicaTable, "i-0", platformtest.Entry("10.0.0.1:80", "ready"))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	receiver := replicas{role: func() replication.Role { return replication.Receiver }, maxSilence: maxSilence}
	d := roster.NewDirectory()
	f := newEndpointFollower(platform.NewStore(store.Address, nil), d, func() int { return 195 }, receiver, newLogger(io.Discard, "error", "i"))
	go f.run(ctx)
	waitFor(t, "the list of endpoints", func() bool { return len(d.View().All()) == 1 })
	store.Fail(http.StatusServiceUnavailable)
	began := store.Calls()
	waitFor(t, "a receiver that has lost the store", f.storeLost.Load)
	<-time.After(outage)
	// The back-off doubles from the first to the longest value, which takes six calls.
	retries := outage.Seconds() / maxSilence.Seconds()
	if calls := store.Calls() - began; float64(calls) > retries+7 {
		t.Errorf("a receiver made %d calls in %v, want at most %.1f plus 7", calls, outage, retries)
	}
	store.Fail(0)
	store.Put(platform.ReplicaTable, "i-1", platformtest.Entry("10.0.0.1:80", "ready"))
	version := replication.Version(store.Version())
	regained := time.Now()
	f.receive(&replication.Update{Table: f.table, After: version, Version: version, Newest: version})
	waitFor(t, "the new endpoint", func() bool { return len(d.View().All()) == 2 })
	if took := time.Since(regained); took > maxSilence/2 {
		t.Errorf("the receiver asked the store %v after an update", took)
	}
}

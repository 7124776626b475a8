package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/platform/platformtest"
	"cowslipshunt.example/serving/roster"
)

const (
	// slowLinkBytes is the rate of the slow link in bytes a second: a fifth of a link of 10 Mbit/s, beside requests and load reports.
	slowLinkBytes = 250_000
	// maxRecoveryTime is the platform's bound on the time from the start of all machines until requests are served.
	maxRecoveryTime = 15 * time.Second
)

// slowLink forwards connections to an address and returns its own. Answers pass at slowLinkBytes a second.
func slowLink(t *testing.T, address string) string {
	t.Helper()
	return countedSlowLink(t, address, &atomic.Int64{})
}

// countedSlowLink is a slowLink that adds the bytes of answers that have passed to a counter.
func countedSlowLink(t *testing.T, address string, passed *atomic.Int64) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", address)
			if err != nil {
				_ = near.Close()
				return
			}
			go forwardSlowly(near, far, passed)
		}
	}()
	return l.Addr().String()
}

// forwardSlowly forwards between two connections until either is closed.
func forwardSlowly(near, far net.Conn, passed *atomic.Int64) {
	const interval = 10 * time.Millisecond
	go func() {
		_, _ = io.Copy(far, near)
		_ = far.Close()
	}()
	buffer := make([]byte, slowLinkBytes*int(interval)/int(time.Second))
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	defer func() { _ = near.Close() }()
	for {
		n, err := far.Read(buffer)
		if err != nil {
			return
		}
		if _, err := near.Write(buffer[:n]); err != nil {
			return
		}
		passed.Add(int64(n))
		<-ticker.C
	}
}

// TestLargeTableIsReadOverSlowLink starts an instance of a deployment with 3,000 endpoints whose link is busy. It must have the whole
// table of endpoints within the time in which service has to be back after all machines were lost.
func TestLargeTableIsReadOverSlowLink(t *testing.T) {
	const endpoints = 3000
	store := platformtest.NewStore(t)
	// The platform's entries have more fields than the stand-in's.
	entry := strings.Replace(platformtest.Entry("10.0.0.1:80", "ready"), "{", `{"version":"`+strings.Repeat("7", 150)+`",`, 1)
	for i := range endpoints {
		store.Put(platform.ReplicaTable, fmt.Sprintf("i-%04d", i), entry)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	d := roster.NewDirectory()
	client := platform.NewStore(slowLink(t, store.Address), nil)
	f := newEndpointFollower(client, d, func() int { return 300 }, noReplicas(), newLogger(io.Discard, "error", "i"))
	go f.run(ctx)
	for deadline := time.Now().Add(maxRecoveryTime); len(d.View().All()) < endpoints; <-time.After(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d endpoints are listed after %v", len(d.View().All()), endpoints, maxRecoveryTime)
		}
	}
}

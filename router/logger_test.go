package main

import (
	"strings"
	"testing"
	"time"
)

// blockedWriter is an output that nobody reads: Write blocks until release is closed. It signals when a write has begun.
type blockedWriter struct{ began, release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	select {
	case b.began <- struct{}{}:
	default:
	}
	<-b.release
	return len(p), nil
}

// TestLogDropsLinesInsteadOfBlocking writes more lines than are queued to an output that nobody reads. No write may block, and
// the number of dropped lines has to be logged.
func TestLogDropsLinesInsteadOfBlocking(t *testing.T) {
	const queued, written = 2, 10
	b := blockedWriter{began: make(chan struct{}, 1), release: make(chan struct{})}
	a := &asyncWriter{queue: make(chan []byte, queued)}
	go a.drain(b)
	writeLine := func() {
		if n, err := a.Write([]byte("line\n")); n != 5 || err != nil {
			t.Errorf("Write returned %d, %v", n, err)
		}
	}
	writeLine()
	<-b.began
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range written {
			writeLine()
		}
	}()
	select {
	case <-done:
	case <-time.After(waitTimeout):
		t.Fatal("a write to the log blocked")
	}
	if n := a.dropped.Load(); n != written-queued {
		t.Errorf("%d lines count as dropped, want %d", n, written-queued)
	}
	close(b.release)
	output := &logBuffer{}
	go a.logDropped(newLogger(output, "info", "i"))
	deadline := time.Now().Add(waitTimeout)
	for !strings.Contains(output.String(), "LogLinesDropped") {
		if time.Now().After(deadline) {
			t.Fatal("the dropped lines were not logged")
		}
		<-time.After(pollInterval)
	}
}

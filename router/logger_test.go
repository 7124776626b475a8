package main

import (
	"strings"
	"testing"
	"time"
)

// blocked is an output that nobody reads. It tells when a write has begun.
type blocked struct{ began, release chan struct{} }

func (b blocked) Write(p []byte) (int, error) {
	select {
	case b.began <- struct{}{}:
	default:
	}
	<-b.release
	return len(p), nil
}

// TestLogNeverBlocksAndSaysWhatItDropped writes more lines than are kept to an output that nobody reads.
func TestLogNeverBlocksAndSaysWhatItDropped(t *testing.T) {
	const queued, written = 2, 10
	b := blocked{began: make(chan struct{}, 1), release: make(chan struct{})}
	l := &lines{queue: make(chan []byte, queued)}
	go l.write(b)
	line := func() {
		if n, err := l.Write([]byte("line\n")); n != 5 || err != nil {
			t.Errorf("got %d, %v", n, err)
		}
	}
	line()
	<-b.began
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range written {
			line()
		}
	}()
	select {
	case <-done:
	case <-time.After(within):
		t.Fatal("the log blocks")
	}
	if n := l.dropped.Load(); n != written-queued {
		t.Errorf("%d lines count as dropped", n)
	}
	close(b.release)
	o := &output{}
	go l.tell(newLogger(o, "info", "i"))
	deadline := time.Now().Add(within)
	for !strings.Contains(o.String(), "LogLinesDropped") {
		if time.Now().After(deadline) {
			t.Fatal("the log does not say what it dropped")
		}
		<-time.After(look)
	}
}

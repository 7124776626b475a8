package main

import (
	"strings"
	"testing"
	"time"
)

// blocked is an output that nobody reads.
type blocked struct{ release chan struct{} }

func (b blocked) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// TestLogNeverBlocksAndSaysWhatItDropped writes more lines than are kept to an output that nobody reads.
func TestLogNeverBlocksAndSaysWhatItDropped(t *testing.T) {
	b := blocked{release: make(chan struct{})}
	l := &lines{queue: make(chan []byte, 2)}
	go l.write(b)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 10 {
			if n, err := l.Write([]byte("line\n")); n != 5 || err != nil {
				t.Errorf("got %d, %v", n, err)
			}
		}
	}()
	select {
	case <-done:
	case <-time.After(within):
		t.Fatal("the log blocks")
	}
	if n := l.dropped.Load(); n < 7 {
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

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"cowslipshunt.example/serving/intake"
)

// TestRefusalReachesCallerThatWasAskedToContinue guards against callers that learn of a closed connection in place of a refusal: they were asked
// for a body of unknown length, for which there is no memory later on, and write all of it before they read.
func TestRefusalReachesCallerThatWasAskedToContinue(t *testing.T) {
	s := newMemoryServer(t, 8*intake.SmallBytes)
	s.fill()
	c, in := s.dial()
	if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if resp, _ := s.receive(in); resp.StatusCode != http.StatusContinue {
		t.Fatalf("got status %d", resp.StatusCode)
	}
	if _, err := io.WriteString(c, fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", longBody, strings.Repeat("x", longBody))); err != nil {
		t.Fatalf("the body cannot be written: %v", err)
	}
	if resp, body := s.receive(in); resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got status %d, %q", resp.StatusCode, body)
	}
}

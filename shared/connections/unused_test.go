package connections_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"
)

// TestConnectionThatWasNotUsedYetMayBeIdle guards against requests that cross the close of their connection: callers open connections ahead
// of requests and reuse them like others, and the server closed them at the end of the time for a head.
func TestConnectionThatWasNotUsedYetMayBeIdle(t *testing.T) {
	const headerTimeout = 50 * time.Millisecond
	s := newObservedServer(t, headerTimeout, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	}, plain)
	s.conns.SetIdleTimeout(idleTimeout)
	unused := s.dial("")
	slow := s.dial("GET /a HTTP/1.1\r\nHost: h\r\n")
	_ = slow.SetReadDeadline(time.Now().Add(waitTimeout))
	if n, err := slow.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("a connection with half a head got %d bytes, %v", n, err)
	}
	if n := s.conns.CloseIdle(); n != 0 {
		t.Errorf("%d connections that have just been opened are closed", n)
	}
	if _, err := io.WriteString(unused, wholeRequest); err != nil {
		t.Fatal(err)
	}
	_ = unused.SetReadDeadline(time.Now().Add(waitTimeout))
	if _, err := http.ReadResponse(bufio.NewReader(unused), nil); err != nil {
		t.Errorf("the request got no answer: %v", err)
	}
}

// TestConnectionThatIsNeverUsedIsClosed guards against connections without a request that stay open for ever or hold up a shutdown.
func TestConnectionThatIsNeverUsedIsClosed(t *testing.T) {
	for name, test := range map[string]struct {
		limit time.Duration
		close func(s *observedServer) int
	}{
		"idle limit": {idleTimeout, func(s *observedServer) int { return s.conns.CloseExpired() }},
		"stop":       {waitTimeout, func(s *observedServer) int { return s.conns.CloseIdle() }},
	} {
		t.Run(name, func(t *testing.T) {
			s := newObservedServer(t, waitTimeout, http.NotFound, plain)
			s.conns.SetIdleTimeout(idleTimeout)
			c := s.dial("")
			if !holdsInTime(func() bool { return s.conns.Open() == 1 }) {
				t.Fatal("the connection is not open")
			}
			s.clock.Advance(test.limit)
			if n := test.close(s); n != 0 {
				t.Errorf("%d connections are closed at the limit", n)
			}
			s.clock.Advance(time.Millisecond)
			if n := test.close(s); n != 1 {
				t.Errorf("%d connections are closed after the limit, want 1", n)
			}
			_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
			if _, err := c.Read(make([]byte, 1)); err != io.EOF {
				t.Errorf("the connection ends with %v", err)
			}
		})
	}
}

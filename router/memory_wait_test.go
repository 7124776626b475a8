package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cowslipshunt.example/platform/platformtest"
	"cowslipshunt.example/serving/intake"
	"cowslipshunt.example/serving/relay"
	"github.com/jonboulle/clockwork"
)

// longBody is the size of a body that no buffers of sockets take.
const longBody = 24 << 20

// memoryServer serves callers with a budget of which a test takes parts.
type memoryServer struct {
	t       *testing.T
	budget  *intake.Budget
	log     *logBuffer
	address string
	// end ends all requests with a cause.
	end context.CancelCauseFunc
}

func newMemoryServer(t *testing.T, limit int64) *memoryServer {
	t.Helper()
	s := &memoryServer{t: t, budget: intake.New(clockwork.NewRealClock(), limit), log: &logBuffer{}}
	handler := newCallerHandler(limitedRelay{maxBody: longBody}, s.budget, newLogger(s.log, "debug", "a"))
	ctx, end := context.WithCancelCause(t.Context())
	s.end = end
	server := newCallerServer(ctx, handler)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = l.Addr().String()
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// fill takes the whole budget until the returned function is called.
func (s *memoryServer) fill() (release func()) {
	s.t.Helper()
	h := s.budget.Hold("other", 0)
	if err := h.Grow(s.t.Context(), s.budget.Limit()); err != nil {
		s.t.Fatal(err)
	}
	return h.Release
}

// dial opens a connection to the server.
func (s *memoryServer) dial() (net.Conn, *bufio.Reader) {
	s.t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	return c, bufio.NewReader(c)
}

// head returns the head of a request with a body of n bytes, with further lines.
func head(n int, lines ...string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%s\r\n", n, strings.Join(lines, ""))
}

// receive reads an answer with its body.
func (s *memoryServer) receive(in *bufio.Reader) (resp *http.Response, body string) {
	s.t.Helper()
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		s.t.Fatalf("there is no answer: %v", err)
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		s.t.Fatalf("the answer is not whole: %v", err)
	}
	return resp, string(data)
}

// TestRefusalReachesCallerThatWritesFirst guards against callers that learn of a closed connection in place of a refusal: they write all of a
// long body, with a length or in chunks, before they read, and then use the connection again.
func TestRefusalReachesCallerThatWritesFirst(t *testing.T) {
	for name, request := range map[string]string{
		"length": head(longBody) + strings.Repeat("x", longBody),
		"chunks": fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", longBody, strings.Repeat("x", longBody)),
	} {
		t.Run(name, func(t *testing.T) {
			s := newMemoryServer(t, 8*intake.SmallBytes)
			release := s.fill()
			c, in := s.dial()
			// The caller does not return before the whole body was written.
			if _, err := io.WriteString(c, request); err != nil {
				t.Fatal(err)
			}
			if resp, body := s.receive(in); resp.StatusCode != http.StatusServiceUnavailable || resp.Close || resp.Header.Get("Retry-After") == "" {
				t.Errorf("got status %d, %q, %v", resp.StatusCode, body, resp.Header)
			}
			release()
			if _, err := io.WriteString(c, head(4)+"book"); err != nil {
				t.Fatal(err)
			}
			if resp, _ := s.receive(in); resp.StatusCode != http.StatusOK {
				t.Errorf("the next request on the connection got status %d", resp.StatusCode)
			}
			waitFor(t, "a line about the refusal", func() bool {
				return strings.Contains(s.log.String(), `"Outcome":"Refused","message":"RequestMemory"`)
			})
		})
	}
}

// TestBodyIsNotAskedForWithoutMemory guards against bodies that are sent in vain: callers that expect a go-ahead get it only once there is room.
func TestBodyIsNotAskedForWithoutMemory(t *testing.T) {
	s := newMemoryServer(t, 8*intake.SmallBytes)
	const expect = "Expect: 100-continue\r\n"
	release := s.fill()
	c, in := s.dial()
	if _, err := io.WriteString(c, head(2*intake.SmallBytes, expect)); err != nil {
		t.Fatal(err)
	}
	if resp, _ := s.receive(in); resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got status %d", resp.StatusCode)
	}
	c, in = s.dial()
	if _, err := io.WriteString(c, head(2*intake.SmallBytes, expect)); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "a body that waits", func() bool { return s.budget.Waiting() == 1 })
	release()
	if resp, _ := s.receive(in); resp.StatusCode != http.StatusContinue {
		t.Fatalf("got status %d", resp.StatusCode)
	}
	if _, err := io.WriteString(c, strings.Repeat("x", 2*intake.SmallBytes)); err != nil {
		t.Fatal(err)
	}
	if resp, _ := s.receive(in); resp.StatusCode != http.StatusOK {
		t.Errorf("got status %d", resp.StatusCode)
	}
	waitFor(t, "a line about the wait", func() bool { return strings.Contains(s.log.String(), `"Outcome":"Taken","message":"RequestMemory"`) })
}

// TestTricklingCallerGivesItsMemoryBack guards against callers that hold memory for a body that they do not send: it is theirs for as long as
// they wait for an answer at most, and others are served meanwhile.
func TestTricklingCallerGivesItsMemoryBack(t *testing.T) {
	s := newMemoryServer(t, 8*intake.SmallBytes)
	h := http.Header{}
	platformtest.SetCallerTimeout(h, 500*time.Millisecond)
	var lines strings.Builder
	if err := h.Write(&lines); err != nil {
		t.Fatal(err)
	}
	c, in := s.dial()
	if _, err := io.WriteString(c, head(4*intake.SmallBytes, lines.String())+"xx"); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "a body that is held", func() bool { return s.budget.Held() == 4*intake.SmallBytes })
	other, otherIn := s.dial()
	if _, err := io.WriteString(other, head(4)+"book"); err != nil {
		t.Fatal(err)
	}
	if resp, _ := s.receive(otherIn); resp.StatusCode != http.StatusOK {
		t.Errorf("another caller got status %d", resp.StatusCode)
	}
	if resp, _ := s.receive(in); resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Errorf("got status %d, %v", resp.StatusCode, resp.Header)
	}
	waitFor(t, "memory that is given back", func() bool { return s.budget.Held() == 0 })
}

// TestBodyBeyondTheMemoryIsTakenAlone checks that a body that the configuration allows and the budget does not is served while no other is held.
func TestBodyBeyondTheMemoryIsTakenAlone(t *testing.T) {
	s := newMemoryServer(t, 8*intake.SmallBytes)
	c, in := s.dial()
	if _, err := io.WriteString(c, head(longBody)+strings.Repeat("x", longBody)); err != nil {
		t.Fatal(err)
	}
	if resp, _ := s.receive(in); resp.StatusCode != http.StatusOK {
		t.Errorf("got status %d", resp.StatusCode)
	}
}

// TestBodyThatWaitsIsRefusedAsTheInstanceStops guards against requests that end without an answer, or as malformed ones, as the instance ends
// what is open.
func TestBodyThatWaitsIsRefusedAsTheInstanceStops(t *testing.T) {
	s := newMemoryServer(t, 8*intake.SmallBytes)
	s.fill()
	c, in := s.dial()
	if _, err := io.WriteString(c, head(2*intake.SmallBytes)+strings.Repeat("x", 2*intake.SmallBytes)); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "a body that waits", func() bool { return s.budget.Waiting() == 1 })
	s.end(relay.ErrStopping)
	if resp, body := s.receive(in); resp.StatusCode != http.StatusServiceUnavailable || !strings.HasPrefix(body, "NotRun: "+relay.ErrStopping.Error()) {
		t.Errorf("got status %d, %q", resp.StatusCode, body)
	}
}

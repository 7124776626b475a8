package main

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/route"
)

// hookedListener accepts connections whose Read calls afterRead once it has read bytes, before it returns them.
type hookedListener struct {
	net.Listener
	afterRead func()
}

func (l *hookedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &hookedConn{Conn: c, afterRead: l.afterRead}, nil
}

type hookedConn struct {
	net.Conn
	afterRead func()
}

func (c *hookedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.afterRead()
	}
	return n, err
}

// acceptingRelay answers each request and counts them.
type acceptingRelay struct {
	requests atomic.Int64
}

func (r *acceptingRelay) Serve(_ context.Context, _ *relay.Request, c relay.Caller) {
	r.requests.Add(1)
	c.Answer(http.StatusOK, relay.Header{}, []byte("done"))
}

func (r *acceptingRelay) Table() *route.Table { return nil }

// expiringServer serves requests on connections that expire whenever bytes of a request were read and not returned to the server yet.
type expiringServer struct {
	conns *callerConns
	relay *acceptingRelay
	// reads counts the reads from all connections.
	reads atomic.Int64
	// address is where the server listens.
	address string
}

func newExpiringServer(t *testing.T) *expiringServer {
	t.Helper()
	s := &expiringServer{conns: newCallerConns(), relay: &acceptingRelay{}}
	server := newCallerServer(t.Context(), &callerHandler{relay: s.relay, logger: newLogger(io.Discard, "debug", "a")}, s.conns)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = l.Addr().String()
	hooked := &hookedListener{Listener: l, afterRead: func() {
		s.conns.closeExpired(0)
		s.reads.Add(1)
	}}
	go func() { _ = server.Serve(s.conns.listener(hooked)) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// requestInParts sends a request in parts, each once the server has read the one before, and fails the test unless it is answered.
func (s *expiringServer) requestInParts(t *testing.T, c net.Conn, in *bufio.Reader, parts ...string) {
	t.Helper()
	before := s.relay.requests.Load()
	for _, part := range parts {
		reads := s.reads.Load()
		if _, err := io.WriteString(c, part); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "a read", func() bool { return s.reads.Load() > reads })
	}
	_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		wasServed := holdsInTime(func() bool { return s.relay.requests.Load() > before })
		t.Fatalf("the request got no answer: %v; it was served: %v", err, wasServed)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	// The connection counts as idle only after the answer was written.
	waitFor(t, "an idle connection", func() bool { return s.conns.countIdle() == 1 })
}

// TestRequestReadFromExpiringConnectionIsAnswered guards against requests that end without an answer: the idle timeout of their
// connection passes, or a new configuration shortens it, after the request was read and before the server counts the connection as active.
func TestRequestReadFromExpiringConnectionIsAnswered(t *testing.T) {
	s := newExpiringServer(t)
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for range 3 {
		s.requestInParts(t, c, in, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	}
}

// TestRequestInPartsOnExpiringConnectionIsAnswered guards against the same when a request arrives in parts, the first of which is shorter
// than what the server waits for before it reads a request.
func TestRequestInPartsOnExpiringConnectionIsAnswered(t *testing.T) {
	s := newExpiringServer(t)
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for range 3 {
		s.requestInParts(t, c, in, "G", "ET / HTTP/1.1\r\nHo", "st: h\r\n\r\n")
	}
}

// countIdle returns how many connections are idle.
func (s *callerConns) countIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.open {
		c.mu.Lock()
		if !c.idleSince.IsZero() {
			n++
		}
		c.mu.Unlock()
	}
	return n
}

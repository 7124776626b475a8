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

// TestRequestReadFromExpiringConnectionIsAnswered guards against requests that end without an answer: the idle timeout of their
// connection passes, or a new configuration shortens it, after the request was read and before the server counts the connection as active.
func TestRequestReadFromExpiringConnectionIsAnswered(t *testing.T) {
	idle := newIdleConns()
	served := &acceptingRelay{}
	server := newCallerServer(t.Context(), &callerHandler{relay: served, logger: newLogger(io.Discard, "debug", "a")}, idle)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	hooked := &hookedListener{Listener: l, afterRead: func() { idle.closeExpired(0) }}
	go func() { _ = server.Serve(hooked) }()
	defer func() { _ = server.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for range 3 {
		before := served.requests.Load()
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			wasServed := holdsInTime(func() bool { return served.requests.Load() > before })
			t.Fatalf("the request got no answer: %v; it was served: %v", err, wasServed)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatal(err)
		}
		// The connection counts as idle only after the answer was written.
		waitFor(t, "an idle connection", func() bool { return idle.count() == 1 })
	}
}

// count returns how many connections are idle.
func (i *idleConns) count() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.idleSince)
}

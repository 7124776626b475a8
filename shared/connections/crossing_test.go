package connections_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// expiryListener accepts connections that call onExpiry once, between the end of a wait for a request and its return to the server.
type expiryListener struct {
	net.Listener
	server   *observedServer
	onExpiry atomic.Pointer[func()]
}

func (l *expiryListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &expiryConn{Conn: c, l: l}, nil
}

type expiryConn struct {
	net.Conn
	l *expiryListener
}

func (c *expiryConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && c.l.server.idle.Load() {
		if hook := c.l.onExpiry.Swap(nil); hook != nil {
			(*hook)()
		}
	}
	return n, err
}

// SyscallConn makes the socket accessible.
func (c *expiryConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// TestRequestThatArrivesAsIdleConnectionExpiresIsAnswered guards against requests that end without an answer and a log line: they arrive
// after the server has found their connection idle and before it closes it.
func TestRequestThatArrivesAsIdleConnectionExpiresIsAnswered(t *testing.T) {
	var l *expiryListener
	proceed := make(chan struct{})
	defer close(proceed)
	s := newObservedServer(t, waitTimeout, func(w http.ResponseWriter, _ *http.Request) {
		<-proceed
		_, _ = io.WriteString(w, "ok")
	}, func(s *observedServer, inner net.Listener) net.Listener {
		l = &expiryListener{Listener: inner, server: s}
		return l
	})
	s.conns.SetIdleTimeout(idleTimeout)
	c := s.dial(wholeRequest)
	in := bufio.NewReader(c)
	_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
	answered := func() {
		t.Helper()
		select {
		case proceed <- struct{}{}:
		case <-time.After(waitTimeout):
			t.Fatal("a request was not served")
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("a request got no answer: %v", err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	answered()
	for _, closeIdle := range []func() int{s.conns.CloseExpired, s.conns.CloseIdle} {
		send := func() { _, _ = io.WriteString(c, wholeRequest) }
		l.onExpiry.Store(&send)
		if !holdsInTime(func() bool {
			s.clock.Advance(2 * idleTimeout)
			closeIdle()
			return l.onExpiry.Load() == nil
		}) {
			t.Fatal("the connection does not expire")
		}
		answered()
	}
	if len(s.unread) > 0 {
		t.Errorf("%+v was not read", <-s.unread)
	}
}

package main

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"cowslipshunt.example/shared/link"
)

// callerConns tracks callers' connections and closes those that have been idle for longer than the configuration allows. The idle
// timeout of http.Server cannot change while the server runs, and its states are too coarse to close a connection safely: one whose
// next request is being read still counts as idle.
type callerConns struct {
	mu   sync.Mutex
	open map[*callerConn]struct{}
}

func newCallerConns() *callerConns {
	return &callerConns{open: map[*callerConn]struct{}{}}
}

// listener returns a listener whose connections are tracked.
func (s *callerConns) listener(l net.Listener) net.Listener {
	return &callerListener{Listener: l}
}

// connState records when a connection opens, becomes idle and closes. It is a callback for http.Server.ConnState.
func (s *callerConns) connState(c net.Conn, state http.ConnState) {
	tracked, ok := c.(*callerConn)
	if !ok {
		return
	}
	if state == http.StateIdle {
		tracked.markIdle(time.Now())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.open[tracked] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.open, tracked)
	}
}

// closeExpired makes the server close the connections that have been idle for longer than timeout, and returns how many these are.
func (s *callerConns) closeExpired(timeout time.Duration) int {
	now := time.Now()
	closed := 0
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if c.expire(now, timeout) {
			closed++
		}
	}
	return closed
}

// callerListener accepts callers' connections.
type callerListener struct {
	net.Listener
}

// Accept waits for the next connection.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c}, nil
}

// longAgo is a read deadline that has passed.
var longAgo = time.Unix(1, 0)

// callerConn is a caller's connection. It is active from the first byte of a request until its answer has been written.
type callerConn struct {
	net.Conn

	mu sync.Mutex
	// idleSince is when the connection became idle; zero while it is active or new.
	idleSince time.Time
	// expired is set once expire has ended the server's wait for the next request.
	expired bool
}

// Read reads from the connection, which is active once it has returned a byte.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.markActive()
	}
	return n, err
}

// CloseWrite closes the writing side, which lets net/http send a final answer to a caller that is still writing.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

func (c *callerConn) markIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = now
}

// markActive ends the idle time. A request that was read before expire could end the wait for it is served.
func (c *callerConn) markActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = time.Time{}
	if c.expired {
		c.expired = false
		_ = c.SetReadDeadline(time.Time{})
	}
}

// expire ends the server's wait for the next request if the connection has been idle for longer than timeout and its caller has sent
// nothing; the server then closes the connection. It reports whether it did so for the first time.
func (c *callerConn) expire(now time.Time, timeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleSince.IsZero() || now.Sub(c.idleSince) <= timeout || link.HasUnread(c.Conn) {
		return false
	}
	// net/http may reset the deadline while it begins to wait. The next call then sets it again.
	_ = c.SetReadDeadline(longAgo)
	first := !c.expired
	c.expired = true
	return first
}

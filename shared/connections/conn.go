package connections

import (
	"errors"
	"net"
	"sync"
	"time"

	"cowslipshunt.example/shared/link"
)

// longAgo is a read deadline that has passed.
var longAgo = time.Unix(1, 0)

// conn is a tracked connection. It is active from the first byte of a request until its answer has been written.
type conn struct {
	net.Conn
	// headerTimeout bounds the time from the first byte of a request to the last one of its head; 0 means no bound.
	headerTimeout time.Duration

	mu sync.Mutex
	// idleSince is when the connection became idle; zero while it is active or new.
	idleSince time.Time
	// idleTimeout is the one that was in force when the connection became idle.
	idleTimeout time.Duration
	// expired is set once expire has ended the server's wait for the next request.
	expired bool
}

// Read reads from the connection, which is active once it has returned a byte.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.markActive()
	}
	return n, err
}

// CloseWrite closes the writing side, which lets net/http send a final answer to a caller that is still writing.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

func (c *conn) markIdle(now time.Time, timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince, c.idleTimeout = now, timeout
}

// markActive ends the idle time. A request that was read before expire could end the wait for it is served.
func (c *conn) markActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleSince.IsZero() {
		return
	}
	c.idleSince = time.Time{}
	c.expired = false
	// net/http bounds the time for a head only once it has read four bytes. Until then the connection would stay open for ever.
	deadline := time.Time{}
	if c.headerTimeout > 0 {
		deadline = time.Now().Add(c.headerTimeout)
	}
	_ = c.SetReadDeadline(deadline)
}

// markServing ends the idle time of a connection whose request has been read without a read from the connection.
func (c *conn) markServing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleSince.IsZero() {
		return
	}
	c.idleSince = time.Time{}
	if c.expired {
		c.expired = false
		_ = c.SetReadDeadline(time.Time{})
	}
}

// expire ends the server's wait for the next request if the connection has been idle for longer than timeout and its caller has sent
// nothing; the server then closes the connection. It reports whether it did so for the first time.
func (c *conn) expire(now time.Time, timeout func(promised time.Duration) time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleSince.IsZero() || now.Sub(c.idleSince) <= timeout(c.idleTimeout) || link.HasUnread(c.Conn) {
		return false
	}
	// net/http may reset the deadline while it begins to wait. The next call then sets it again.
	_ = c.SetReadDeadline(longAgo)
	first := !c.expired
	c.expired = true
	return first
}

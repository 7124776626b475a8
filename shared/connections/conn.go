package connections

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cowslipshunt.example/shared/link"
)

// longAgo is a read deadline that has passed.
var longAgo = time.Unix(1, 0)

// conn is a tracked connection. It is active from the first byte of a request until its answer has been written. A new one is idle if the
// tracker has an idle timeout; without one, the server bounds the time until its first request.
type conn struct {
	net.Conn
	tracker *Tracker
	// headerTimeout bounds the time from the first byte of a request to the last one of its head; 0 means no bound.
	headerTimeout time.Duration
	opened        time.Time
	// unanswered is set by the first byte of a request and cleared by the first one of its answer.
	unanswered atomic.Bool

	mu sync.Mutex
	// unused is set until the first byte was read.
	unused bool
	// idleSince is when the connection became idle; zero while it is active.
	idleSince time.Time
	// idleTimeout is the one that was in force when the connection became idle.
	idleTimeout time.Duration
	// expired is set while expire has ended the server's wait for the next request.
	expired bool
	// expiry is why expire did so.
	expiry CloseReason
	// readErr is the last error of a read since the connection became active.
	readErr error
}

// Read reads from the connection, which is active once it has returned a byte.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for n == 0 && err != nil && c.resume() {
		n, err = c.Conn.Read(p)
	}
	if n > 0 {
		c.markActive()
	}
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.readErr = err
	}
	return n, err
}

// resume takes back the end of the wait for the next request if a request has arrived since, and reports whether it did.
func (c *conn) resume() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.expired || !link.HasBytes(c.Conn) {
		return false
	}
	c.expired = false
	return c.Conn.SetReadDeadline(time.Time{}) == nil
}

// SetReadDeadline sets the deadline of reads. The time for the head of the first request begins with its first byte, so deadlines before it
// have no effect on a connection that may be idle.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unused && !c.idleSince.IsZero() {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Write writes a part of an answer.
func (c *conn) Write(p []byte) (int, error) {
	c.unanswered.Store(false)
	return c.Conn.Write(p)
}

// Close closes the connection and reports a request that lies on it.
func (c *conn) Close() error {
	c.reportUnread()
	return c.Conn.Close()
}

// CloseWrite closes the writing side, which lets net/http send a final answer to a caller that is still writing.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// NetConn returns the connection that c wraps.
func (c *conn) NetConn() net.Conn {
	return c.Conn
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
	if c.unused {
		c.unused = false
		c.unanswered.Store(true)
	}
	if c.idleSince.IsZero() {
		return
	}
	c.unanswered.Store(true)
	c.idleSince = time.Time{}
	c.expired, c.readErr = false, nil
	// net/http bounds the time for a head only once it has read four bytes. Until then the connection would stay open for ever.
	deadline := time.Time{}
	if c.headerTimeout > 0 {
		deadline = time.Now().Add(c.headerTimeout)
	}
	_ = c.Conn.SetReadDeadline(deadline)
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
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

// expire ends the server's wait for the next request if the connection has been idle for longer than timeout and its caller has sent
// nothing; the server then closes the connection. It reports whether it did so for the first time.
func (c *conn) expire(now time.Time, reason CloseReason, timeout func(promised time.Duration) time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := timeout(c.idleTimeout)
	if c.unused {
		// The first request of a new connection is on its way.
		limit = max(limit, c.headerTimeout)
	}
	if c.idleSince.IsZero() || now.Sub(c.idleSince) <= limit || link.HasUnread(c.Conn) {
		return false
	}
	// net/http may reset the deadline while it begins to wait. The next call then sets it again.
	_ = c.Conn.SetReadDeadline(longAgo)
	first := !c.expired
	c.expired, c.expiry = true, reason
	return first
}

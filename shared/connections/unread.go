package connections

import (
	"errors"
	"net"
	"os"
	"time"

	"cowslipshunt.example/shared/link"
)

// CloseReason is why a server closed a connection.
type CloseReason string

// Reasons for which a server closes a connection on which a request lies.
const (
	// IdleLimit is the end of the time for which a connection may be idle.
	IdleLimit CloseReason = "IdleLimit"
	// Stop is the end of idle connections at a stop.
	Stop CloseReason = "Stop"
	// ReadLimit is the end of the time for the head of a request.
	ReadLimit CloseReason = "ReadLimit"
	// LastAnswer is the end of an answer after which the server closes the connection, or the abort of one.
	LastAnswer CloseReason = "LastAnswer"
)

// Unread is a request that a server has not read, or only in part, on a connection that it closes.
type Unread struct {
	Remote net.Addr
	Reason CloseReason
	// Begun is set if part of the request was read.
	Begun bool
	// Idle is for how long the connection was idle, or open and not used; 0 if it was in use.
	Idle time.Duration
}

// Option changes a Tracker.
type Option func(*Tracker)

// WithUnreadObserver has observe called with each request that lies on a connection as the server closes it. Those of connections that their
// callers have closed do not count.
func WithUnreadObserver(observe func(Unread)) Option {
	return func(t *Tracker) { t.unread = observe }
}

// reportUnread reports a request that lies on the connection, which is about to be closed.
func (c *conn) reportUnread() {
	observe := c.tracker.unread
	if observe == nil {
		return
	}
	begun := c.unanswered.Load() && !c.callerEnded()
	if !begun && !link.HasBytes(c.Conn) {
		return
	}
	observe(Unread{Remote: c.RemoteAddr(), Reason: c.closeReason(), Begun: begun, Idle: c.idleTime()})
}

// callerEnded reports whether the caller has closed or reset the connection.
func (c *conn) callerEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readErr != nil && !errors.Is(c.readErr, os.ErrDeadlineExceeded)
}

func (c *conn) closeReason() CloseReason {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.expired:
		return c.expiry
	case c.unused, c.unanswered.Load() && c.readErr != nil:
		return ReadLimit
	}
	return LastAnswer
}

// idleTime returns for how long the connection has been idle, or open if it was never used.
func (c *conn) idleTime() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.tracker.clock.Now()
	switch {
	case c.unused:
		return now.Sub(c.opened)
	case c.idleSince.IsZero():
		return 0
	}
	return now.Sub(c.idleSince)
}

package heads

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// maxLeaving bounds the connections that were told to close and are still open. Beyond it, new connections are closed at once.
const maxLeaving = 16

// listener accepts guarded connections. It passes on the methods by which the connections in its queue are served at a stop.
type listener struct {
	net.Listener
	group *group
}

// Accept waits for the next connection for which there is room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: inner, group: l.group, opened: time.Now()}
		if l.group.admit(c) {
			return c, nil
		}
	}
}

// SyscallConn makes the socket accessible.
func (l *listener) SyscallConn() (syscall.RawConn, error) {
	if inner, ok := l.Listener.(syscall.Conn); ok {
		return inner.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// SetDeadline sets the time at which Accept ends.
func (l *listener) SetDeadline(t time.Time) error {
	if inner, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		return inner.SetDeadline(t)
	}
	return errors.ErrUnsupported
}

// admit adds a new connection. If there are too many, it makes the one close that has been without a whole request for longest, or refuses
// the new one if there is none.
func (g *group) admit(c *conn) bool {
	b := g.budget
	b.mu.Lock()
	ownFull := g.open >= g.maxConns
	if !ownFull && len(b.open) < b.maxConns {
		b.add(c)
		b.mu.Unlock()
		return true
	}
	victim := b.oldest(ownFull, g)
	admitted := victim != nil && b.leaving < maxLeaving && b.evict(victim, Connections)
	var stalled *conn
	if victim == nil && b.leaving < maxLeaving {
		stalled = b.abortStalled(ownFull, g)
		admitted = stalled != nil
	}
	b.add(c)
	if !admitted {
		c.leaving = true
		b.leaving++
	}
	full := b.leaving > maxLeaving
	b.mu.Unlock()
	if stalled != nil {
		b.observe(Refusal{Remote: stalled.RemoteAddr(), Reason: Unread, Silent: true, Held: b.Held(), Open: b.Open()})
	}
	if !admitted {
		// A connection beyond those that may linger is closed without a refusal.
		c.refuse(Connections, full)
		_ = c.Close()
	}
	return admitted
}

// add adds a connection. b.mu is held.
func (b *Budget) add(c *conn) {
	b.open[c] = struct{}{}
	c.group.open++
}

// remove removes a connection whose descriptor is closed.
func (b *Budget) remove(c *conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.open[c]; !ok {
		return
	}
	delete(b.open, c)
	c.group.open--
	if c.leaving {
		b.leaving--
	}
}

// oldest returns the connection to close for a new one: that which has waited for longest for a first request or for the rest of one, or for
// the next request if there is none of those. With own set, it is one of g. It returns nil if all serve requests. b.mu is held.
func (b *Budget) oldest(own bool, g *group) *conn {
	var oldest *conn
	for c := range b.open {
		if own && c.group != g || c.leaving || !c.evictable() {
			continue
		}
		if oldest == nil || c.kept.Load() != oldest.kept.Load() && !c.kept.Load() ||
			c.kept.Load() == oldest.kept.Load() && c.opened.Before(oldest.opened) {
			oldest = c
		}
	}
	return oldest
}

// abortStalled ends the write that has been blocked for longest, if that is longer than b.stall, and returns its connection. The request's handler
// then finds that its caller does not read the answer. With own set, it is one of g. b.mu is held.
func (b *Budget) abortStalled(own bool, g *group) *conn {
	var longest *conn
	since := time.Now().Add(-b.stall).UnixNano()
	for c := range b.open {
		if own && c.group != g || c.leaving {
			continue
		}
		if began := c.writing.Load(); began != 0 && began < since {
			longest, since = c, began
		}
	}
	if longest != nil {
		longest.leaving = true
		b.leaving++
		_ = longest.Conn.SetWriteDeadline(longAgo)
	}
	return longest
}

// evict makes the server close a connection. It returns false if that has a whole request by now. b.mu is held.
func (b *Budget) evict(c *conn, reason Reason) bool {
	phase := c.phase.Load()
	if phase != waiting && phase != reading || c.leaving {
		return false
	}
	c.reason = reason
	if !c.phase.CompareAndSwap(phase, phase|evicted) {
		return false
	}
	c.leaving = true
	b.leaving++
	_ = c.Conn.SetReadDeadline(longAgo)
	return true
}

// takeBack lets a connection stay that was told to close, as a request is on it. Its phase becomes the given one.
func (b *Budget) takeBack(c *conn, phase int32) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.leaving {
		c.leaving = false
		b.leaving--
	}
	c.phase.Store(phase)
	return c.Conn.SetReadDeadline(time.Time{})
}

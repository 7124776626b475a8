// Package connections tracks the connections of an HTTP server and closes those that are idle, without losing a request.
//
// http.Server cannot do that by itself: to its ConnState hook and its Shutdown, a connection counts as idle until the head of its next
// request has been parsed, and Shutdown drops requests that were read just after it began.
package connections

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// drainInterval is the interval at which Shutdown closes the connections that have become idle.
const drainInterval = 20 * time.Millisecond

// Tracker tracks the connections of one server. It is safe for concurrent use.
type Tracker struct {
	server *http.Server
	clock  clockwork.Clock
	// draining is set once Shutdown was called. Answers then ask their callers to close the connection.
	draining atomic.Bool
	// idleTimeout is that of connections that become idle now, in nanoseconds; 0 means that they do not expire.
	idleTimeout atomic.Int64
	// unread receives requests that were not read, if it is not nil.
	unread func(Unread)

	mu        sync.Mutex
	open      map[*conn]struct{}
	listeners []*listener
}

// Track returns a tracker for the connections that srv accepts from listeners that Listener returned. It sets the ConnState of srv and
// wraps its handler, so it has to be called before srv serves.
func Track(srv *http.Server, clock clockwork.Clock, options ...Option) *Tracker {
	t := &Tracker{server: srv, clock: clock, open: map[*conn]struct{}{}}
	for _, o := range options {
		o(t)
	}
	srv.ConnState = t.connState
	next := srv.Handler
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if t.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
	return t
}

// Listener returns a listener whose connections are tracked. Shutdown closes it.
func (t *Tracker) Listener(l net.Listener) net.Listener {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked := &listener{Listener: l, tracker: t, ended: make(chan struct{})}
	t.listeners = append(t.listeners, tracked)
	return tracked
}

// SetIdleTimeout sets after how long idle connections expire; 0 means never. Connections that are idle already and had a longer timeout keep
// it, as their callers may still go by it.
func (t *Tracker) SetIdleTimeout(d time.Duration) {
	t.idleTimeout.Store(int64(d))
}

// CloseExpired makes the server close the connections whose idle timeout has passed, and returns how many these are.
func (t *Tracker) CloseExpired() int {
	timeout := time.Duration(t.idleTimeout.Load())
	if timeout <= 0 {
		return 0
	}
	return t.closeIdle(IdleLimit, func(promised time.Duration) time.Duration { return max(promised, timeout) })
}

// CloseIdle makes the server close all idle connections but those that have just been opened, and returns how many these are.
func (t *Tracker) CloseIdle() int {
	return t.closeIdle(Stop, func(time.Duration) time.Duration { return 0 })
}

// closeIdle makes the server close the connections that have been idle for longer than a timeout, which depends on the one that was in
// force when they became idle.
func (t *Tracker) closeIdle(reason CloseReason, timeout func(promised time.Duration) time.Duration) int {
	now := t.clock.Now()
	closed := 0
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.open {
		if c.expire(now, reason, timeout) {
			closed++
		}
	}
	return closed
}

// Open returns how many connections are open.
func (t *Tracker) Open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open)
}

// Shutdown closes the listeners, serves the requests that callers have sent, and waits until all connections are closed. Idle connections
// are closed. If ctx ends before, Shutdown returns its error and leaves the remaining connections open; it may then be called again.
func (t *Tracker) Shutdown(ctx context.Context) error {
	t.draining.Store(true)
	if err := t.closeListeners(ctx); err != nil {
		return err
	}
	ticker := t.clock.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		t.CloseIdle()
		if t.Open() == 0 {
			return t.server.Shutdown(ctx)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
		}
	}
}

// closeListeners closes the listeners once the server has taken the connections that callers have opened.
func (t *Tracker) closeListeners(ctx context.Context) error {
	t.mu.Lock()
	listeners := t.listeners
	t.mu.Unlock()
	for _, l := range listeners {
		l.stopAccepting()
		if !l.used.Load() {
			continue
		}
		select {
		case <-l.ended:
		case <-ctx.Done():
			_ = l.Close()
			return ctx.Err()
		}
	}
	return nil
}

// newConn returns a new connection.
func (t *Tracker) newConn(c net.Conn) *conn {
	now := t.clock.Now()
	tracked := &conn{Conn: c, tracker: t, headerTimeout: t.server.ReadHeaderTimeout, opened: now, unused: true}
	if timeout := time.Duration(t.idleTimeout.Load()); timeout > 0 {
		tracked.idleSince, tracked.idleTimeout = now, timeout
	}
	return tracked
}

// connState records when a connection opens, becomes idle and closes. It is a callback for http.Server.ConnState.
func (t *Tracker) connState(c net.Conn, state http.ConnState) {
	tracked, ok := c.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		t.mu.Lock()
		defer t.mu.Unlock()
		t.open[tracked] = struct{}{}
	case http.StateActive:
		// The request may have been read together with the one before.
		tracked.markServing()
	case http.StateIdle:
		tracked.markIdle(t.clock.Now(), time.Duration(t.idleTimeout.Load()))
	case http.StateClosed, http.StateHijacked:
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.open, tracked)
	}
}

package connections

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// acceptTimeout bounds the time in which a listener that stops still accepts the connections that callers have opened.
const acceptTimeout = time.Second

// listener accepts tracked connections.
type listener struct {
	net.Listener
	tracker *Tracker
	// used is set once Accept was called. ended is closed once it has failed because the listener is closed: by then the server has taken
	// all connections that Accept returned before.
	used   atomic.Bool
	ended  chan struct{}
	finish sync.Once
	closed sync.Once
	// acceptUntil is set once the listener stops: Accept closes it when the kernel's queue is empty, or then.
	acceptUntil atomic.Pointer[time.Time]
}

// queueListener is a listener whose queue can be looked at. It is implemented by *net.TCPListener.
type queueListener interface {
	net.Listener
	syscall.Conn
	SetDeadline(t time.Time) error
}

// stopAccepting makes Accept close the listener once no connection waits in the kernel's queue, which the close would reset. A listener that
// is not in use, or whose queue cannot be looked at, is closed at once.
func (l *listener) stopAccepting() {
	until := time.Now().Add(acceptTimeout)
	q, ok := l.Listener.(queueListener)
	if !ok || !l.used.Load() || !l.acceptUntil.CompareAndSwap(nil, &until) || q.SetDeadline(longAgo) != nil {
		_ = l.Close()
	}
}

// Close closes the listener. Later calls do nothing: http.Server reports the error of a second close as one of its shutdown.
func (l *listener) Close() error {
	var err error
	l.closed.Do(func() { err = l.Listener.Close() })
	return err
}

// Accept waits for the next connection. Once Shutdown has closed the listener, it returns http.ErrServerClosed.
func (l *listener) Accept() (net.Conn, error) {
	l.used.Store(true)
	c, err := l.acceptQueued()
	if err == nil {
		return l.tracker.newConn(c), nil
	}
	if !errors.Is(err, net.ErrClosed) {
		return nil, err
	}
	l.finish.Do(func() { close(l.ended) })
	if l.tracker.draining.Load() {
		return nil, http.ErrServerClosed
	}
	return nil, err
}

// acceptQueued is like Accept of the inner listener. Once the listener stops, it closes the listener when the queue is empty.
func (l *listener) acceptQueued() (net.Conn, error) {
	until := l.acceptUntil.Load()
	if until == nil {
		c, err := l.Listener.Accept()
		if until = l.acceptUntil.Load(); err == nil || until == nil {
			return c, err
		}
	}
	q, ok := l.Listener.(queueListener)
	// stopAccepting may set its deadline only now, which ends one Accept more.
	for ok && time.Now().Before(*until) && hasQueued(q) && q.SetDeadline(*until) == nil {
		c, err := l.Listener.Accept()
		if err == nil {
			return c, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			break
		}
	}
	_ = l.Close()
	return nil, net.ErrClosed
}

// hasQueued reports whether a connection waits in the kernel's queue of a listener.
func hasQueued(l queueListener) bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		n, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && n > 0
}

package main

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// callerConn is the connection of a caller. It keeps the error that has ended it, as net/http tells only that there was one: the end of what the
// caller sends, a reset, or a deadline.
type callerConn struct {
	*net.TCPConn
	// failed is the error of the last read or write; nil if that has succeeded.
	failed atomic.Pointer[error]
}

// Read reads from the connection.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.note(n, err)
	return n, err
}

// Write writes to the connection.
func (c *callerConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	c.note(n, err)
	return n, err
}

func (c *callerConn) note(n int, err error) {
	switch {
	case err != nil:
		c.failed.Store(&err)
	case n > 0 && c.failed.Load() != nil:
		c.failed.Store(nil)
	}
}

// RemoteAddr returns the caller's address, which leads to the connection: wrappers of the connection pass it on.
func (c *callerConn) RemoteAddr() net.Addr {
	return callerAddr{Addr: c.TCPConn.RemoteAddr(), conn: c}
}

// callerAddr is the address of a caller.
type callerAddr struct {
	net.Addr
	conn *callerConn
}

// callerConnKey is the key of a request's callerConn in its context.
type callerConnKey struct{}

// withCallerConn adds the connection to the context of its requests.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	if a, ok := c.RemoteAddr().(callerAddr); ok {
		return context.WithValue(ctx, callerConnKey{}, a.conn)
	}
	return ctx
}

// callerListener accepts connections as callerConn. It has the methods of a TCP listener, by which a stop serves the connections in its queue.
type callerListener struct {
	*net.TCPListener
}

// listenForCallers wraps a TCP listener, and leaves others as they are.
func listenForCallers(l net.Listener) net.Listener {
	if tcp, ok := l.(*net.TCPListener); ok {
		return callerListener{tcp}
	}
	return l
}

// Accept waits for the next connection.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &callerConn{TCPConn: c}, nil
}

// CallerGoneError is the cause of the end of a request whose caller has disconnected.
type CallerGoneError struct {
	// Err is what ended the caller's connection.
	Err error
}

// Error returns the message with that of the cause.
func (e *CallerGoneError) Error() string {
	return "connection of the caller: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *CallerGoneError) Unwrap() error {
	return e.Err
}

// callerContext returns the context of a request, whose cause tells how the caller's connection ended. The function releases it.
func callerContext(r *http.Request) (context.Context, func()) {
	c, ok := r.Context().Value(callerConnKey{}).(*callerConn)
	if !ok {
		return r.Context(), func() {}
	}
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(r.Context()))
	stop := context.AfterFunc(r.Context(), func() {
		cause := context.Cause(r.Context())
		if err := c.failed.Load(); err != nil && cause == context.Canceled {
			cause = &CallerGoneError{Err: *err}
		}
		cancel(cause)
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

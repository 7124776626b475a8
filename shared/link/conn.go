// Package link keeps HTTP/1.1 connections to endpoints. Unlike net/http's transport it never sends a request twice, and
// it lets the caller read on after an answer that belongs to another request.
package link

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

// readBuffer is the size of a connection's read buffer in bytes: room for the head of an answer and a few events.
const readBuffer = 4 << 10

// Conn is one connection to an endpoint. It carries one exchange at a time.
type Conn struct {
	conn net.Conn
	r    *bufio.Reader
	// Reused tells whether an exchange went over the connection before.
	Reused bool
	// idleUntil is when the endpoint may close the idle connection.
	idleUntil time.Time
	// written is set once the whole request was written, sent once its first byte was.
	written atomic.Bool
	sent    atomic.Bool
	stop    func() bool
}

func newConn(c net.Conn) *Conn {
	return &Conn{conn: c, r: bufio.NewReaderSize(c, readBuffer)}
}

// Send writes a request without waiting for its end, as an endpoint may answer before it has read a long body. The
// connection is closed when ctx ends.
func (c *Conn) Send(ctx context.Context, request net.Buffers) {
	c.written.Store(false)
	c.sent.Store(false)
	c.stop = context.AfterFunc(ctx, c.Close)
	go func() {
		c.sent.Store(true)
		if _, err := request.WriteTo(c.conn); err == nil {
			c.written.Store(true)
		}
	}()
}

// ReadResponse reads the head of the next answer on the connection.
func (c *Conn) ReadResponse(method string) (*http.Response, error) {
	return http.ReadResponse(c.r, &http.Request{Method: method})
}

// Clean tells whether the connection may carry another exchange: the request is written, the answer is read to its end and
// nothing came behind it.
func (c *Conn) Clean(resp *http.Response) bool {
	return c.written.Load() && !resp.Close && c.r.Buffered() == 0
}

// Close closes the connection. What the endpoint does for it ends.
func (c *Conn) Close() {
	_ = c.conn.Close()
}

// release ends the tie to the exchange's context and tells whether the connection was still open.
func (c *Conn) release() bool {
	return c.stop == nil || c.stop()
}

// alive tells whether an idle connection is still open with nothing to read, without blocking.
func (c *Conn) alive() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	raw, err := c.conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

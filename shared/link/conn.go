// Package link opens and pools HTTP/1.1 connections to endpoints. Unlike the transport of net/http it never sends a request twice,
// and it lets the caller skip a response that belongs to another request and read the next one.
package link

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"
)

// Bounds of what is read from an endpoint.
const (
	// readBufferBytes is the size of a connection's read buffer: room for the head of a response and a few events of a stream.
	readBufferBytes = 4 << 10
	// maxHeadBytes bounds the head of a response, with the interim responses before it. The read buffer may hold a little more.
	maxHeadBytes = 32 << 10
	// maxInterimResponses is how many interim responses (1xx) may precede a response.
	maxInterimResponses = 8
	// maxCarried is how many exchanges a connection remembers.
	maxCarried = 16
	// minStatus is the lowest status code of a response that is not interim, maxStatus the highest one.
	minStatus = 200
	maxStatus = 599
)

// Conn is a connection to an endpoint. It carries one exchange (a request and its response) at a time.
type Conn struct {
	conn net.Conn
	// limit bounds what r reads from conn.
	limit *limitedReader
	r     *bufio.Reader
	// Reused reports whether the connection carried another exchange before.
	Reused bool
	// carried are the names of the last exchanges, oldest first.
	carried []string
	// idleUntil is the time from which the connection is no longer reused, as the endpoint may close it.
	idleUntil time.Time
	// write is the write of the present request.
	write write
	// detachContext stops the exchange's context from closing the connection; nil before the first exchange.
	detachContext func() bool
}

func newConn(c net.Conn) *Conn {
	limit := &limitedReader{r: c}
	return &Conn{conn: c, limit: limit, r: bufio.NewReaderSize(limit, readBufferBytes)}
}

// Send writes a request. What the kernel does not accept at once is written in the background, as an endpoint may answer before it
// has read a long body. The connection is closed when ctx ends, until the connection is put back into its pool.
//
// A failed write is not reported at once, as the endpoint may have responded before. If the response ends with its connection, its body
// ends with the error.
func (c *Conn) Send(ctx context.Context, request net.Buffers) {
	c.detachContext = context.AfterFunc(ctx, c.Close)
	rest, err := writeAvailable(c.conn, request)
	c.write = write{sent: true, err: err}
	if err != nil || len(rest) == 0 {
		return
	}
	done := make(chan struct{})
	c.write.done = done
	go func() {
		defer close(done)
		_, c.write.err = rest.WriteTo(c.conn)
	}()
}

// Carry records the name of the exchange that follows. It returns false if the connection has carried one of that name before: a response
// with the name might then belong to the earlier one.
func (c *Conn) Carry(name string) bool {
	if slices.Contains(c.carried, name) {
		return false
	}
	if len(c.carried) == maxCarried {
		c.carried = slices.Delete(c.carried, 0, 1)
	}
	c.carried = append(c.carried, name)
	return true
}

// ReadResponse reads the head of the next response on the connection and skips interim responses before it. The error is a
// *HeadTooLongError if the heads exceed maxHeadBytes. The body of the response has no bound.
func (c *Conn) ReadResponse(method string) (*http.Response, error) {
	c.limit.set(maxHeadBytes)
	defer c.limit.clear()
	for range maxInterimResponses + 1 {
		resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= minStatus && resp.StatusCode <= maxStatus {
			if !delimitsItself(resp) && c.write.sent {
				resp.Body = &closeDelimitedBody{ReadCloser: resp.Body, write: &c.write}
			}
			return resp, nil
		}
		if resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus || resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, &UnexpectedStatusError{Status: resp.StatusCode}
		}
	}
	return nil, &HeadTooLongError{}
}

// Reusable reports whether the connection may carry another exchange, after the response has been read to its end: the request was
// written completely, the endpoint did not ask to close the connection, and nothing follows the response in the read buffer.
func (c *Conn) Reusable(resp *http.Response) bool {
	return c.write.succeeded() && !resp.Close && c.r.Buffered() == 0
}

// Close closes the connection, which makes the endpoint stop work on the exchange.
func (c *Conn) Close() {
	_ = c.conn.Close()
}

// detach stops the context of the exchange from closing the connection. It returns false if the context has ended before.
func (c *Conn) detach() bool {
	return c.detachContext == nil || c.detachContext()
}

// isOpen reports whether an idle connection is still open and has nothing to read. It does not block.
func (c *Conn) isOpen() bool {
	return c.r.Buffered() == 0 && !HasUnread(c.conn)
}

// HasUnread reports whether a connection has bytes that were not read yet, or has ended. It does not block, also while another
// goroutine reads from the connection. For connections that are no sockets it returns false.
func HasUnread(c net.Conn) bool {
	n, err := peek(c)
	return n > 0 || !errors.Is(err, syscall.EAGAIN)
}

// HasBytes is like HasUnread, but returns false for a connection that has ended and has no bytes left.
func HasBytes(c net.Conn) bool {
	n, _ := peek(c)
	return n > 0
}

// peek returns how many bytes can be read from a connection at once, up to 1. The error is EAGAIN if there are none yet; connections that are
// no sockets count as such.
func peek(c net.Conn) (int, error) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return 0, syscall.EAGAIN
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	var n int
	var recvErr error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, recvErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n, cmp.Or(err, recvErr)
}

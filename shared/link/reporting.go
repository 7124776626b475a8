package link

import (
	"context"
	"io"
	"net"
	"sync"
)

// ReportingDial returns a dial function for net/http's transport, whose connections report a lost write to their reader: a read does not
// return io.EOF after a write has failed, or while one is at work that then fails or does not end within writeEndTimeout. The transport takes
// a response that ends with its connection as complete even if the kernel has told a reset to the write only.
func ReportingDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &reportingConn{Conn: c}, nil
	}
}

// reportingConn is a connection with one writer at a time.
type reportingConn struct {
	net.Conn

	mu sync.Mutex
	// last is the present or the last write.
	last *write
}

// Write writes to the connection and keeps the error.
func (c *reportingConn) Write(p []byte) (int, error) {
	w := &write{sent: true, done: make(chan struct{})}
	c.mu.Lock()
	c.last = w
	c.mu.Unlock()
	defer close(w.done)
	n, err := c.Conn.Write(p)
	w.err = err
	return n, err
}

// Read reads from the connection. At its end it waits for the end of a write.
func (c *reportingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF {
		return n, err
	}
	c.mu.Lock()
	w := c.last
	c.mu.Unlock()
	if w == nil {
		return n, err
	}
	if writeErr := w.wait(); writeErr != nil {
		err = &RequestNotWrittenError{Err: writeErr}
	}
	return n, err
}

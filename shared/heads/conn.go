package heads

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"cowslipshunt.example/shared/link"
)

// longAgo is a read deadline that has passed.
var longAgo = time.Unix(1, 0)

// The phases of a connection.
const (
	// waiting is the phase before the first byte of a head.
	waiting int32 = iota
	// reading is that before the server has parsed the head.
	reading
	// serving is that in which the server reads the body and answers.
	serving
	// evicted is a flag beside waiting and reading: the connection was told to close.
	evicted int32 = 1 << 4
)

// conn is a connection that counts the heads of its requests before the server parses them.
type conn struct {
	net.Conn
	group  *group
	opened time.Time
	phase  atomic.Int32
	// kept is set once the connection has carried a request.
	kept atomic.Bool
	// cost is what the present head holds.
	cost atomic.Int64
	// deadline is the time limit of a head of which a part has been read, in Unix nanoseconds; 0 if there is none.
	deadline atomic.Int64
	// writing is when the present write began, in Unix nanoseconds; 0 if there is none.
	writing atomic.Int64
	// refused is set once a refusal was written, which the caller still has to read.
	refused atomic.Bool
	closed  atomic.Bool
	// gone is set once the head was refused or the connection has to close.
	gone atomic.Bool

	// leaving is set while the connection is told to close. It belongs to Budget.mu. reason is why, and is set before the flag of the phase.
	leaving bool
	reason  Reason

	// The fields below belong to the goroutine that reads.
	scan   scanner
	limits Limits
}

// find returns the guarded connection that c wraps, or nil.
func find(c net.Conn) *conn {
	for {
		switch v := c.(type) {
		case *conn:
			return v
		case interface{ NetConn() net.Conn }:
			c = v.NetConn()
		default:
			return nil
		}
	}
}

// evictable reports whether the connection is without a whole request and was not told to close yet.
func (c *conn) evictable() bool {
	phase := c.phase.Load()
	return phase == waiting || phase == reading
}

// setState follows the server's view of the connection. Bytes of a next head that the server has read together with a body are not counted:
// these are less than its buffer, 4 KB.
func (c *conn) setState(state http.ConnState) {
	switch state {
	case http.StateActive:
		if c.gone.Load() {
			// The server reports the end of the read in the middle of a head like this, too.
			return
		}
		limited := c.deadline.Swap(0) != 0
		if !c.phase.CompareAndSwap(reading, serving) && !c.phase.CompareAndSwap(waiting, serving) {
			_ = c.group.budget.takeBack(c, serving)
		} else if limited {
			_ = c.Conn.SetReadDeadline(time.Time{})
		}
	case http.StateIdle:
		c.release()
		c.kept.Store(true)
		c.scan = scanner{}
		c.phase.Store(waiting)
	}
}

// release returns the cost of the head to the budget.
func (c *conn) release() {
	c.group.budget.held.Add(-c.cost.Swap(0))
}

// Read reads from the connection, and counts what belongs to a head. Once the head is refused, the refusal is written and Read returns io.EOF,
// at which the server closes the connection.
func (c *conn) Read(p []byte) (int, error) {
	if c.phase.Load() == serving {
		return c.Conn.Read(p)
	}
	n, err := c.Conn.Read(p)
	for n == 0 && err != nil && c.resume() {
		n, err = c.Conn.Read(p)
	}
	if n == 0 {
		return c.failed(err)
	}
	if c.phase.CompareAndSwap(waiting, reading) || c.phase.CompareAndSwap(waiting|evicted, reading|evicted) {
		c.limits = c.group.limits()
	}
	bytes, fields := c.scan.add(p[:n])
	if c.scan.bytes > c.limits.MaxBytes {
		return c.refuse(TooLarge, false)
	}
	if c.scan.ended && c.scan.conflicting() {
		return c.refuse(Framing, false)
	}
	if !c.group.budget.charge(c, byteCost*int64(bytes)+fieldCost*int64(fields)) {
		return c.refuse(Memory, false)
	}
	switch {
	case c.scan.ended:
		c.deadline.Store(0)
	case c.deadline.Load() == 0:
		until := time.Now().Add(c.limits.Timeout)
		c.deadline.Store(until.UnixNano())
		_ = c.SetReadDeadline(until)
	}
	return n, err
}

// maxWrite is the longest write to the connection. A long answer is written in several, so that a caller that reads it slowly does not count as
// one that reads nothing.
const maxWrite = 64 << 10

// Write writes to the connection.
func (c *conn) Write(p []byte) (int, error) {
	defer c.writing.Store(0)
	written := 0
	for {
		c.writing.Store(time.Now().UnixNano())
		n, err := c.Conn.Write(p[written:min(written+maxWrite, len(p))])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// resume lets a connection stay that was told to close if a request has arrived on it since.
func (c *conn) resume() bool {
	return c.phase.Load() == waiting|evicted && c.kept.Load() && link.HasBytes(c.Conn) && c.group.budget.takeBack(c, waiting) == nil
}

// failed returns the result of a read that has failed, and refuses a head that was begun if the failure is a decision of the budget.
func (c *conn) failed(err error) (int, error) {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, err
	}
	phase := c.phase.Load()
	if phase&evicted != 0 {
		return c.refuse(c.reason, phase&reading == 0 && !link.HasBytes(c.Conn))
	}
	if until := c.deadline.Load(); phase == reading && until != 0 && time.Now().UnixNano() >= until {
		return c.refuse(TooSlow, false)
	}
	return 0, err
}

// refuse writes a refusal, or none if silent is set. It returns the result of the read after which the server closes the connection.
func (c *conn) refuse(reason Reason, silent bool) (int, error) {
	b := c.group.budget
	r := Refusal{Remote: c.RemoteAddr(), Reason: reason, Silent: silent, RetryAfter: retryAfter, Cost: c.cost.Load(), Held: b.Held(), Open: b.Open()}
	b.observe(r)
	c.gone.Store(true)
	if !silent && c.refused.CompareAndSwap(false, true) {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(lingerTime))
		_, _ = c.Conn.Write(b.encode(r))
		_ = c.CloseWrite()
	}
	return 0, io.EOF
}

// SetReadDeadline sets the deadline of reads. While a head is read its own time limit applies, unless the server ends the read at once.
func (c *conn) SetReadDeadline(t time.Time) error {
	until := c.deadline.Load()
	switch {
	case c.phase.Load()&evicted != 0:
		t = longAgo
	case until != 0 && (t.IsZero() || t.After(time.Now())):
		t = time.Unix(0, until)
	}
	err := c.Conn.SetReadDeadline(t)
	if c.phase.Load()&evicted != 0 {
		// The connection was told to close meanwhile.
		err = c.Conn.SetReadDeadline(longAgo)
	}
	return err
}

// CloseWrite closes the writing side.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SyscallConn makes the socket accessible.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if inner, ok := c.Conn.(syscall.Conn); ok {
		return inner.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

package heads

import (
	"io"
	"time"
)

// Bounds of what is still read from a caller that was refused. A connection that is closed with unread bytes is reset, which may destroy the
// refusal before the caller has read it.
const (
	lingerTime  = 300 * time.Millisecond
	lingerBytes = 256 << 10
)

// Close closes the connection. After a refusal, what the caller still sends is read and dropped for a short time.
func (c *conn) Close() error {
	if !c.closed.CompareAndSwap(false, true) {
		return c.Conn.Close()
	}
	c.release()
	if !c.refused.Load() {
		defer c.group.budget.remove(c)
		return c.Conn.Close()
	}
	go func() {
		defer c.group.budget.remove(c)
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
		_ = c.Conn.Close()
	}()
	return nil
}

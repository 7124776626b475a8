package heads

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// repeatedConn returns the same request at each read.
type repeatedConn struct {
	scriptedConn
	request string
}

func (c *repeatedConn) Read(p []byte) (int, error) { return copy(p, c.request), nil }

// BenchmarkOverhead measures what the budget adds to one request: its read, its two changes of state, and the write of its answer.
func BenchmarkOverhead(b *testing.B) {
	budget := New(1<<30, 10, nil, nil)
	g := &group{budget: budget, limits: func() Limits { return Limits{MaxBytes: 16 << 10, Timeout: time.Minute} }}
	request := "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n" + strings.Repeat("Some-Field: some value of it\r\n", 10) + "\r\nbook"
	c := &conn{Conn: &repeatedConn{request: request}, group: g}
	p := make([]byte, 4<<10)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Read(p); err != nil {
			b.Fatal(err)
		}
		c.setState(http.StateActive)
		_, _ = c.Write(p)
		c.setState(http.StateIdle)
	}
}

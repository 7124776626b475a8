package link_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"cowslipshunt.example/shared/link"
	"github.com/jonboulle/clockwork"
)

// maxReadBytes bounds what reading the head of a response may take from a connection: the bound of the head.
const maxReadBytes = 32 << 10

// scriptedConn is a connection on which the endpoint sends data, repeated without end.
type scriptedConn struct {
	net.Conn
	data []byte
	read int
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	if len(c.data) == 0 {
		return 0, io.EOF
	}
	n := 0
	for n < len(p) {
		n += copy(p[n:], c.data[(c.read+n)%len(c.data):])
	}
	c.read += n
	return n, nil
}

func (c *scriptedConn) Close() error { return nil }

// FuzzReadResponse reads a response from an endpoint that sends the same bytes without end. Reading its head has to end, must not read
// more than its bound, and returns only responses that can be passed on.
func FuzzReadResponse(f *testing.F) {
	for _, seed := range []string{
		emptyResponse, "HTTP/1.1 200 ", "x", "\r\n", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 000 \r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "HTTP/1.0 204 \n\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		conn := &scriptedConn{data: data}
		pool := link.NewPool[string](clockwork.NewRealClock(), func(context.Context, string, string) (net.Conn, error) { return conn, nil })
		c, err := pool.Get(t.Context(), "a", "")
		if err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		resp, err := c.ReadResponse(http.MethodGet)
		if conn.read > maxReadBytes {
			t.Fatalf("read %d bytes, want at most %d", conn.read, maxReadBytes)
		}
		if took := time.Since(began); took > 5*time.Second {
			t.Fatalf("reading the head took %v", took)
		}
		if err == nil && (resp.StatusCode < 200 || resp.StatusCode > 599) {
			t.Fatalf("got status %d from %q", resp.StatusCode, bytes.TrimSpace(data))
		}
	})
}

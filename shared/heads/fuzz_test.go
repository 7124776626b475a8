package heads

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/iotest"
	"time"
)

// scriptedConn is a connection on which a caller sends data.
type scriptedConn struct {
	net.Conn
	io.Reader
}

func (c scriptedConn) Read(p []byte) (int, error)     { return c.Reader.Read(p) }
func (scriptedConn) Write(p []byte) (int, error)      { return len(p), nil }
func (scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (scriptedConn) SetWriteDeadline(time.Time) error { return nil }
func (scriptedConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }

// readHeadOf reads a head as the server does, and returns the request, the bytes that were counted and whether the head was refused.
func readHeadOf(r io.Reader) (*http.Request, int64, bool) {
	b := New(1<<20, 10, func(Refusal) []byte { return nil }, func(Refusal) {})
	g := &group{budget: b, limits: func() Limits { return Limits{MaxBytes: 4 << 10, Timeout: time.Minute} }}
	c := &conn{Conn: scriptedConn{Reader: r}, group: g}
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		req = nil
	}
	return req, c.scan.bytes, c.gone.Load()
}

// FuzzHead reads a head through a guarded connection, whole and byte by byte. Both must be counted and judged alike, what net/http takes as a
// whole head must have an end, and one that says twice where its body ends must not pass.
func FuzzHead(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "\r\n\r\nGET / HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\nHost: h\n\nrest", "A: b\r\n c\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "\x00\r\r\n\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		whole, n, refused := readHeadOf(bytes.NewReader(data))
		apart, m, refusedApart := readHeadOf(iotest.OneByteReader(bytes.NewReader(data)))
		// A head with several faults may be refused for one of them, or given up by net/http for another one that comes first.
		if (whole == nil) != (apart == nil) {
			t.Fatalf("read as %v, refused %v, and byte by byte as %v, refused %v", whole, refused, apart, refusedApart)
		}
		if whole == nil {
			return
		}
		if n != m {
			t.Fatalf("counted %d bytes, and %d byte by byte", n, m)
		}
		lower := bytes.ToLower(data[:n])
		if bytes.Contains(lower, []byte("\ncontent-length:")) && bytes.Contains(lower, []byte("\ntransfer-encoding:")) {
			t.Fatal("a head with two framings has passed")
		}
		if !bytes.HasSuffix(data[:n], []byte("\n")) {
			t.Fatalf("the head of %d bytes has no end", n)
		}
	})
}

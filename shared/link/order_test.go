package link_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"

	"cowslipshunt.example/shared/link"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"
)

// orderedConn is a connection whose reads and whose one write return what the test says.
type orderedConn struct {
	net.Conn
	reads  chan any
	writes chan error
	once   sync.Once
	closed chan struct{}
}

func (c *orderedConn) Read(p []byte) (int, error) {
	select {
	case r := <-c.reads:
		if err, ok := r.(error); ok {
			return 0, err
		}
		return copy(p, r.(string)), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

func (c *orderedConn) Write(p []byte) (int, error) {
	select {
	case err := <-c.writes:
		if err != nil {
			return 0, err
		}
		return len(p), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

func (c *orderedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// TestResponseIsCompleteOnlyWithItsRequest guards against lost write errors: in all orders of the parts of a response, its end or a reset, and
// the end of the request's write, a response is complete only if it states its own end and came to it, or if its connection ended in order
// and its request was written. The reset is reported either to the read or to the write.
func TestResponseIsCompleteOnlyWithItsRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		framing := rapid.SampledFrom([]string{"", "Content-Length: 8\r\n", "Transfer-Encoding: chunked\r\n"}).Draw(t, "framing")
		part, rest := "part", "rest"
		if framing == "Transfer-Encoding: chunked\r\n" {
			part, rest = "4\r\npart\r\n", "4\r\nrest\r\n0\r\n\r\n"
		}
		parts := []string{"HTTP/1.1 200 OK\r\n" + framing + "\r\n", part, rest}
		sent := rapid.IntRange(0, len(parts)).Draw(t, "parts")
		reset := rapid.Bool().Draw(t, "reset")
		hidden := reset && rapid.Bool().Draw(t, "reported to the write")
		// A reset that the read reports may come after the whole request was written.
		var writeErr, end error = nil, io.EOF
		if hidden || rapid.IntRange(0, 3).Draw(t, "write fails") == 0 {
			writeErr = syscall.ECONNRESET
		}
		if reset && !hidden {
			end = syscall.ECONNRESET
		}
		writeEndsAt := rapid.IntRange(0, sent+1).Draw(t, "write ends at")
		conn := &orderedConn{reads: make(chan any), writes: make(chan error), closed: make(chan struct{})}
		defer func() { _ = conn.Close() }()
		go func() {
			events := make([]any, 0, sent+1)
			for _, p := range parts[:sent] {
				events = append(events, p)
			}
			for i, e := range append(events, end, nil) {
				if i == writeEndsAt {
					select {
					case conn.writes <- writeErr:
					case <-conn.closed:
					}
				}
				if e == nil {
					return
				}
				select {
				case conn.reads <- e:
				case <-conn.closed:
				}
			}
		}()
		pool := link.NewPool[string](clockwork.NewRealClock(), func(context.Context, string, string) (net.Conn, error) { return conn, nil })
		c, err := pool.Get(context.Background(), "a", "")
		if err != nil {
			t.Fatal(err)
		}
		c.Send(context.Background(), net.Buffers{[]byte("request")})
		resp, err := c.ReadResponse(http.MethodPost)
		var body []byte
		if err == nil {
			body, err = io.ReadAll(resp.Body)
		}
		whole := sent == len(parts)
		want := whole
		if framing == "" {
			want = sent > 0 && end == io.EOF && writeErr == nil
		}
		if (err == nil) != want {
			t.Fatalf("a response was read as %q with %v, want complete %v", body, err, want)
		}
		var notWritten *link.RequestNotWrittenError
		if framing == "" && sent > 0 && end == io.EOF && !errors.As(err, &notWritten) && writeErr != nil {
			t.Fatalf("the error of the write is lost: %v", err)
		}
	})
}

package link_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"syscall"
	"testing"
	"time"

	"cowslipshunt.example/shared/link"
	"github.com/jonboulle/clockwork"
)

// emptyResponse is a complete response after which the connection is reusable.
const emptyResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// fixture has a pool whose connections lead to a listener of the test; peers holds the accepted ends.
type fixture struct {
	t     *testing.T
	clock *clockwork.FakeClock
	pool  *link.Pool[string]
	peers chan net.Conn
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	f := &fixture{t: t, clock: clockwork.NewFakeClock(), peers: make(chan net.Conn, 8)}
	f.pool = link.NewPool[string](f.clock, func(ctx context.Context, _, _ string) (net.Conn, error) {
		c, err := link.DialEndpoint(ctx, "tcp", l.Addr().String())
		if err != nil {
			return nil, err
		}
		peer, err := l.Accept()
		if err != nil {
			return nil, err
		}
		f.peers <- peer
		return c, nil
	})
	return f
}

// exchange gets a connection from the pool, sends a request on it and reads the response.
func (f *fixture) exchange(key string) (*link.Conn, *http.Response) {
	f.t.Helper()
	c, err := f.pool.Get(f.t.Context(), key, "")
	if err != nil {
		f.t.Fatal(err)
	}
	c.Send(f.t.Context(), net.Buffers{[]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")})
	peer := <-f.peers
	f.peers <- peer
	if _, err := peer.Read(make([]byte, 1024)); err != nil {
		f.t.Fatal(err)
	}
	if _, err := peer.Write([]byte(emptyResponse)); err != nil {
		f.t.Fatal(err)
	}
	resp, err := c.ReadResponse(http.MethodGet)
	if err != nil {
		f.t.Fatal(err)
	}
	return c, resp
}

// waitUntilReusable waits up to 5 seconds for the connection to become reusable, as the request is written in the background, and
// reports whether it did.
func waitUntilReusable(c *link.Conn, resp *http.Response) bool {
	deadline := time.Now().Add(5 * time.Second)
	for !c.Reusable(resp) {
		if time.Now().After(deadline) {
			return false
		}
		runtime.Gosched()
	}
	return true
}

// TestShortRequestIsWrittenBySend guards against closing clean connections: an endpoint may have answered a short request before a
// goroutine in the background could note that the request was written.
func TestShortRequestIsWrittenBySend(t *testing.T) {
	f := newFixture(t)
	c, err := f.pool.Get(t.Context(), "a", "")
	if err != nil {
		t.Fatal(err)
	}
	c.Send(t.Context(), net.Buffers{[]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n"), []byte("ask")})
	if !c.Reusable(&http.Response{}) {
		t.Error("the request was not written when Send returned")
	}
}

// TestLongRequestIsWrittenInBackground sends a body that exceeds the kernel's buffers to an endpoint that answers before it reads
// the body. Send must not block, the body must arrive unchanged, and the connection is reusable only once it was written.
func TestLongRequestIsWrittenInBackground(t *testing.T) {
	f := newFixture(t)
	c, err := f.pool.Get(t.Context(), "a", "")
	if err != nil {
		t.Fatal(err)
	}
	body := make([]byte, 32<<20)
	for i := range body {
		body[i] = byte(i >> 10)
	}
	head := []byte("POST / HTTP/1.1\r\nHost: h\r\n\r\n")
	c.Send(t.Context(), net.Buffers{head, body})
	peer := <-f.peers
	if _, err := peer.Write([]byte(emptyResponse)); err != nil {
		t.Fatal(err)
	}
	resp, err := c.ReadResponse(http.MethodPost)
	if err != nil {
		t.Fatal(err)
	}
	if c.Reusable(resp) {
		t.Error("the connection is reusable before its request was written")
	}
	got := make([]byte, len(head)+len(body))
	if _, err := io.ReadFull(peer, got); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got[len(head):], body) {
		t.Error("the body arrived changed")
	}
	if !waitUntilReusable(c, resp) {
		t.Error("the connection did not become reusable")
	}
}

func TestPoolSeparatesIncarnations(t *testing.T) {
	f := newFixture(t)
	c, resp := f.exchange("a/1")
	if !waitUntilReusable(c, resp) {
		t.Fatal("the connection is not reusable")
	}
	f.pool.Put("a/1", c, 0)
	other, err := f.pool.Get(t.Context(), "a/2", "")
	if err != nil || other.Reused {
		t.Errorf("Get for another incarnation returned a pooled connection of the first, or failed: %v", err)
	}
	again, err := f.pool.Get(t.Context(), "a/1", "")
	if err != nil || !again.Reused {
		t.Errorf("Get for the same incarnation did not reuse its connection: %v", err)
	}
}

func TestPoolDiscardsUnusableConnections(t *testing.T) {
	tests := []struct {
		name       string
		invalidate func(f *fixture, peer net.Conn)
	}{
		{"closed by the peer", func(_ *fixture, peer net.Conn) { _ = peer.Close() }},
		{"with unsolicited bytes", func(_ *fixture, peer net.Conn) { _, _ = peer.Write([]byte(emptyResponse)) }},
		{"idle for longer than the peer keeps it", func(f *fixture, _ net.Conn) { f.clock.Advance(5 * time.Second) }},
		{"of an incarnation that is gone", func(f *fixture, _ net.Conn) { f.pool.Retain(func(string) bool { return false }) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			c, resp := f.exchange("a")
			if !waitUntilReusable(c, resp) {
				t.Fatal("the connection is not reusable")
			}
			f.pool.Put("a", c, 5*time.Second)
			test.invalidate(f, <-f.peers)
			for n := 0; ; n++ {
				got, err := f.pool.Get(t.Context(), "a", "")
				if err != nil {
					t.Fatal(err)
				}
				if !got.Reused {
					return
				}
				if n > 1000 {
					t.Fatal("the connection was reused")
				}
				f.pool.Put("a", got, 5*time.Second)
			}
		})
	}
}

func TestContextEndClosesConnection(t *testing.T) {
	f := newFixture(t)
	ctx, cancel := context.WithCancel(t.Context())
	c, err := f.pool.Get(ctx, "a", "")
	if err != nil {
		t.Fatal(err)
	}
	c.Send(ctx, net.Buffers{[]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")})
	cancel()
	if _, err := c.ReadResponse(http.MethodGet); err == nil {
		t.Error("a response was read after the context had ended")
	}
	f.pool.Put("a", c, 0)
	if again, err := f.pool.Get(t.Context(), "a", ""); err != nil || again.Reused {
		t.Error("a closed connection was put into the pool")
	}
}

// TestCloseResetsConnection guards against late delivery of a request: after an orderly close the kernel would go on sending the
// rest, and a request delayed by a partition would arrive once the partition has healed.
func TestCloseResetsConnection(t *testing.T) {
	f := newFixture(t)
	c, err := f.pool.Get(t.Context(), "a", "")
	if err != nil {
		t.Fatal(err)
	}
	c.Send(t.Context(), net.Buffers{[]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")})
	peer := <-f.peers
	if _, err := peer.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	c.Close()
	if _, err := io.Copy(io.Discard, peer); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the peer's read returned %v, want ECONNRESET", err)
	}
}

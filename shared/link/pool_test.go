package link_test

import (
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

// whole is an answer that leaves its connection clean.
const whole = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// pair is a pool whose connections end at the test.
type pair struct {
	t     *testing.T
	clock *clockwork.FakeClock
	pool  *link.Pool[string]
	peers chan net.Conn
}

func newPair(t *testing.T) *pair {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	p := &pair{t: t, clock: clockwork.NewFakeClock(), peers: make(chan net.Conn, 8)}
	p.pool = link.NewPool[string](p.clock, func(ctx context.Context, _, _ string) (net.Conn, error) {
		c, err := link.DialEndpoint(ctx, "tcp", l.Addr().String())
		if err != nil {
			return nil, err
		}
		peer, err := l.Accept()
		if err != nil {
			return nil, err
		}
		p.peers <- peer
		return c, nil
	})
	return p
}

// exchange has one request answered on a connection of the pool.
func (p *pair) exchange(key string) (*link.Conn, *http.Response) {
	p.t.Helper()
	c, err := p.pool.Get(p.t.Context(), key, "")
	if err != nil {
		p.t.Fatal(err)
	}
	c.Send(p.t.Context(), net.Buffers{[]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")})
	peer := <-p.peers
	p.peers <- peer
	if _, err := peer.Read(make([]byte, 1024)); err != nil {
		p.t.Fatal(err)
	}
	if _, err := peer.Write([]byte(whole)); err != nil {
		p.t.Fatal(err)
	}
	resp, err := c.ReadResponse(http.MethodGet)
	if err != nil {
		p.t.Fatal(err)
	}
	return c, resp
}

// cleanly waits until the writer of a request has ended, and tells whether the connection may be used again.
func cleanly(c *link.Conn, resp *http.Response) bool {
	deadline := time.Now().Add(5 * time.Second)
	for !c.Clean(resp) {
		if time.Now().After(deadline) {
			return false
		}
		runtime.Gosched()
	}
	return true
}

func TestConnectionsAreKeptByIncarnation(t *testing.T) {
	p := newPair(t)
	c, resp := p.exchange("a/1")
	if !cleanly(c, resp) {
		t.Fatal("the connection is not clean")
	}
	p.pool.Put("a/1", c, 0)
	other, err := p.pool.Get(t.Context(), "a/2", "")
	if err != nil || other.Reused {
		t.Errorf("another incarnation got a connection of the first, %v", err)
	}
	again, err := p.pool.Get(t.Context(), "a/1", "")
	if err != nil || !again.Reused {
		t.Errorf("the incarnation's own connection was not used again, %v", err)
	}
}

func TestConnectionsThatMayBeClosedAreNotUsed(t *testing.T) {
	tests := []struct {
		name  string
		spoil func(p *pair, peer net.Conn)
	}{
		{"closed by the peer", func(_ *pair, peer net.Conn) { _ = peer.Close() }},
		{"with bytes that nobody asked for", func(_ *pair, peer net.Conn) { _, _ = peer.Write([]byte(whole)) }},
		{"idle for longer than the peer keeps it", func(p *pair, _ net.Conn) { p.clock.Advance(5 * time.Second) }},
		{"of an incarnation that is gone", func(p *pair, _ net.Conn) { p.pool.Retain(func(string) bool { return false }) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newPair(t)
			c, resp := p.exchange("a")
			if !cleanly(c, resp) {
				t.Fatal("the connection is not clean")
			}
			p.pool.Put("a", c, 5*time.Second)
			test.spoil(p, <-p.peers)
			for n := 0; ; n++ {
				got, err := p.pool.Get(t.Context(), "a", "")
				if err != nil {
					t.Fatal(err)
				}
				if !got.Reused {
					return
				}
				if n > 1000 {
					t.Fatal("the connection was used again")
				}
				p.pool.Put("a", got, 5*time.Second)
			}
		})
	}
}

func TestEndOfTheContextClosesTheConnection(t *testing.T) {
	p := newPair(t)
	ctx, cancel := context.WithCancel(t.Context())
	c, err := p.pool.Get(ctx, "a", "")
	if err != nil {
		t.Fatal(err)
	}
	c.Send(ctx, net.Buffers{[]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")})
	cancel()
	if _, err := c.ReadResponse(http.MethodGet); err == nil {
		t.Error("an answer came after the context had ended")
	}
	p.pool.Put("a", c, 0)
	if again, err := p.pool.Get(t.Context(), "a", ""); err != nil || again.Reused {
		t.Error("a closed connection was kept")
	}
}

// TestEndedExchangeResetsItsConnection holds that what was not delivered of a request is not delivered later: an orderly end
// would have the kernel go on sending, until a cut has healed.
func TestEndedExchangeResetsItsConnection(t *testing.T) {
	p := newPair(t)
	c, err := p.pool.Get(t.Context(), "a", "")
	if err != nil {
		t.Fatal(err)
	}
	c.Send(t.Context(), net.Buffers{[]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")})
	peer := <-p.peers
	if _, err := peer.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	c.Close()
	if _, err := io.Copy(io.Discard, peer); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the peer saw %v, want a reset", err)
	}
}

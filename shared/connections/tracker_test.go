package connections_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"cowslipshunt.example/shared/connections"
	"github.com/jonboulle/clockwork"
)

// waitTimeout bounds the wait for events that take a few milliseconds.
const (
	waitTimeout  = 15 * time.Second
	pollInterval = time.Millisecond
)

// hookedListener accepts connections whose Read calls afterRead once it has read bytes, before it returns them.
type hookedListener struct {
	net.Listener
	afterRead func()
}

func (l *hookedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &hookedConn{Conn: c, afterRead: l.afterRead}, nil
}

type hookedConn struct {
	net.Conn
	afterRead func()
}

func (c *hookedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.afterRead()
	}
	return n, err
}

// fixture is a server that answers each request, on connections that call afterRead between a read from the socket and its return.
type fixture struct {
	t      *testing.T
	server *http.Server
	conns  *connections.Tracker
	clock  *clockwork.FakeClock
	served atomic.Int64
	// reads counts the reads that returned bytes.
	reads     atomic.Int64
	afterRead atomic.Pointer[func()]
	handling  atomic.Pointer[func(r *http.Request)]
	client    net.Conn
	in        *bufio.Reader
	address   string
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	return newFixtureWith(t, waitTimeout)
}

// newFixtureWith returns a fixture whose server bounds the time for the head of a request.
func newFixtureWith(t *testing.T, headerTimeout time.Duration) *fixture {
	t.Helper()
	f := &fixture{t: t, clock: clockwork.NewFakeClock()}
	f.server = &http.Server{ReadHeaderTimeout: headerTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.served.Add(1)
		if hook := f.handling.Load(); hook != nil {
			(*hook)(r)
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})}
	f.conns = connections.Track(f.server, f.clock)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.address = l.Addr().String()
	hooked := &hookedListener{Listener: l, afterRead: func() {
		if hook := f.afterRead.Load(); hook != nil {
			(*hook)()
		}
		f.reads.Add(1)
	}}
	go func() { _ = f.server.Serve(f.conns.Listener(hooked)) }()
	t.Cleanup(func() { _ = f.server.Close() })
	if f.client, err = net.Dial("tcp", f.address); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.client.Close() })
	f.in = bufio.NewReader(f.client)
	return f
}

// expireAll closes the connections that count as idle.
func (f *fixture) expireAll() {
	f.clock.Advance(time.Second)
	f.conns.CloseIdle()
}

// onRead sets what happens after each read, before its bytes are returned.
func (f *fixture) onRead(hook func()) {
	f.afterRead.Store(&hook)
}

// onRequest sets what happens before each request is answered.
func (f *fixture) onRequest(hook func(r *http.Request)) {
	f.handling.Store(&hook)
}

// waitFor waits until a condition holds, and fails the test after waitTimeout.
func (f *fixture) waitFor(what string, condition func() bool) {
	f.t.Helper()
	if !holdsInTime(condition) {
		f.t.Fatalf("timed out waiting for %s", what)
	}
}

// holdsInTime waits until a condition holds, at most for waitTimeout, and reports whether it does.
func holdsInTime(condition func() bool) bool {
	deadline := time.Now().Add(waitTimeout)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		if time.Now().After(deadline) {
			return false
		}
		<-ticker.C
	}
	return true
}

// request sends a request in parts, each once the server has read the one before, and fails the test unless it is answered.
func (f *fixture) request(parts ...string) *http.Response {
	f.t.Helper()
	before := f.served.Load()
	for _, part := range parts {
		reads := f.reads.Load()
		if _, err := io.WriteString(f.client, part); err != nil {
			f.t.Fatal(err)
		}
		f.waitFor("a read", func() bool { return f.reads.Load() > reads })
	}
	_ = f.client.SetReadDeadline(time.Now().Add(waitTimeout))
	resp, err := http.ReadResponse(f.in, nil)
	if err != nil {
		f.t.Fatalf("the request got no answer: %v; it was served %d times", err, f.served.Load()-before)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		f.t.Fatal(err)
	}
	return resp
}

const idleTimeout = time.Minute

const wholeRequest = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"

// isClosed reports whether the server has closed the client's connection. It waits a little for that.
func (f *fixture) isClosed() bool {
	_ = f.client.SetReadDeadline(time.Now().Add(pollInterval))
	_, err := f.in.ReadByte()
	return err == io.EOF
}

// TestRequestReadFromExpiringConnectionIsAnswered guards against requests that end without an answer: the idle timeout of their
// connection passes, or a new configuration shortens it, after the request was read and before the server counts the connection as active.
func TestRequestReadFromExpiringConnectionIsAnswered(t *testing.T) {
	f := newFixture(t)
	f.onRead(f.expireAll)
	for range 3 {
		f.request(wholeRequest)
	}
}

// TestRequestInPartsOnExpiringConnectionIsAnswered guards against the same when a request arrives in parts, the first of which is shorter
// than what the server waits for before it reads a request.
func TestRequestInPartsOnExpiringConnectionIsAnswered(t *testing.T) {
	f := newFixture(t)
	f.onRead(f.expireAll)
	for range 3 {
		f.request("G", "ET /a HTTP/1.1\r\nHo", "st: h\r\n\r\n")
	}
}

// TestIdleConnectionIsClosedAfterTimeout checks that an idle connection is closed once its timeout has passed, and not before, and that it
// is counted once.
func TestIdleConnectionIsClosedAfterTimeout(t *testing.T) {
	f := newFixture(t)
	f.conns.SetIdleTimeout(idleTimeout)
	f.request(wholeRequest)
	f.clock.Advance(idleTimeout)
	if n := f.conns.CloseExpired(); n != 0 {
		t.Fatalf("%d connections were closed before the timeout", n)
	}
	f.request(wholeRequest)
	closed := 0
	f.waitFor("a closed connection", func() bool {
		f.clock.Advance(time.Second)
		closed += f.conns.CloseExpired()
		return f.isClosed()
	})
	if closed != 1 {
		t.Errorf("%d connections were counted as closed, want 1", closed)
	}
	f.waitFor("no open connection", func() bool { return f.conns.Open() == 0 })
}

// TestRequestReadWithTheOneBeforeIsServed guards against requests that are cancelled although their caller waits: they were read together
// with the one before, so that no read marks their connection as active.
func TestRequestReadWithTheOneBeforeIsServed(t *testing.T) {
	f := newFixture(t)
	running, proceed := make(chan context.Context, 1), make(chan struct{})
	f.onRequest(func(r *http.Request) {
		if r.URL.Path == "/b" {
			running <- r.Context()
			<-proceed
		}
	})
	if _, err := io.WriteString(f.client, wholeRequest+"GET /b HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	ctx := <-running
	f.clock.Advance(time.Minute)
	if closed := f.conns.CloseIdle(); closed != 0 {
		t.Errorf("%d connections count as idle", closed)
	}
	if err := ctx.Err(); err != nil {
		t.Errorf("the request was cancelled: %v", err)
	}
	close(proceed)
	for _, want := range []string{"/a", "/b"} {
		resp, err := http.ReadResponse(f.in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, _ := io.ReadAll(resp.Body); string(body) != want {
			t.Errorf("got %q, want %q", body, want)
		}
	}
}

// TestConnectionWithStrayBytesIsClosed guards against connections that stay open for ever and hold up a shutdown: a caller has sent a line
// end after its request, which is less than what the server waits for before it reads the next one.
func TestConnectionWithStrayBytesIsClosed(t *testing.T) {
	f := newFixtureWith(t, 50*time.Millisecond)
	f.request(wholeRequest)
	reads := f.reads.Load()
	if _, err := io.WriteString(f.client, "\r\n"); err != nil {
		t.Fatal(err)
	}
	f.waitFor("a read", func() bool { return f.reads.Load() > reads })
	f.waitFor("no open connection", func() bool {
		f.clock.Advance(time.Second)
		f.conns.CloseIdle()
		return f.conns.Open() == 0
	})
}

// TestShorterIdleTimeoutSparesIdleConnections guards against closing connections that their callers are about to use: a new configuration
// shortens the timeout, and callers go by the one that was in force when they got their last answer.
func TestShorterIdleTimeoutSparesIdleConnections(t *testing.T) {
	f := newFixture(t)
	f.conns.SetIdleTimeout(idleTimeout)
	f.request(wholeRequest)
	f.conns.SetIdleTimeout(idleTimeout / 10)
	f.clock.Advance(idleTimeout / 2)
	if n := f.conns.CloseExpired(); n != 0 {
		t.Errorf("%d connections were closed before the timeout that their callers know", n)
	}
	f.request(wholeRequest)
	f.waitFor("a closed connection", func() bool {
		f.clock.Advance(idleTimeout / 10)
		f.conns.CloseExpired()
		return f.isClosed()
	})
}

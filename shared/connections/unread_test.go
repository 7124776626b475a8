package connections_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"cowslipshunt.example/shared/connections"
	"github.com/jonboulle/clockwork"
)

// observedServer answers each request with its path, and keeps what was not read on the connections that it closed.
type observedServer struct {
	t       *testing.T
	address string
	clock   *clockwork.FakeClock
	conns   *connections.Tracker
	unread  chan connections.Unread
	// idle is set while the connection that changed its state last is idle.
	idle atomic.Bool
}

// newObservedServer returns a server of the connections that l accepts.
func newObservedServer(t *testing.T, headerTimeout time.Duration, handle http.HandlerFunc, wrap func(*observedServer, net.Listener) net.Listener) *observedServer {
	t.Helper()
	s := &observedServer{t: t, clock: clockwork.NewFakeClock(), unread: make(chan connections.Unread, 10)}
	server := &http.Server{ReadHeaderTimeout: headerTimeout, Handler: handle}
	s.conns = connections.Track(server, s.clock, connections.WithUnreadObserver(func(u connections.Unread) { s.unread <- u }))
	track := server.ConnState
	server.ConnState = func(c net.Conn, state http.ConnState) {
		track(c, state)
		s.idle.Store(state == http.StateIdle)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = l.Addr().String()
	tracked := s.conns.Listener(wrap(s, l))
	go func() { _ = server.Serve(tracked) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// dial opens a connection and sends text.
func (s *observedServer) dial(text string) net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		s.t.Fatal(err)
	}
	return c
}

// reported waits for the next report.
func (s *observedServer) reported() connections.Unread {
	s.t.Helper()
	select {
	case u := <-s.unread:
		return u
	case <-time.After(waitTimeout):
		s.t.Fatal("nothing was reported")
		return connections.Unread{}
	}
}

func plain(_ *observedServer, l net.Listener) net.Listener { return l }

// TestRequestThatWasNotReadIsReported guards against requests that end without an answer and without a trace: the server closes their
// connection after the answer before, or at the end of the time for a head.
func TestRequestThatWasNotReadIsReported(t *testing.T) {
	var c net.Conn
	dialed := make(chan struct{})
	s := newObservedServer(t, 50*time.Millisecond, func(w http.ResponseWriter, _ *http.Request) {
		<-dialed
		_, _ = io.WriteString(c, wholeRequest)
		w.Header().Set("Connection", "close")
	}, plain)
	c = s.dial(wholeRequest)
	close(dialed)
	u := s.reported()
	if u.Reason != connections.LastAnswer || u.Begun || u.Remote.String() != c.LocalAddr().String() {
		t.Errorf("a request behind the last answer is reported as %+v", u)
	}
	s.dial("GET /a HTTP/1.1\r\nHost: h\r\n")
	if u := s.reported(); u.Reason != connections.ReadLimit || !u.Begun {
		t.Errorf("half a head is reported as %+v", u)
	}
}

// TestClosedConnectionWithoutRequestIsNotReported guards against reports of requests that were answered, and of callers that have left.
func TestClosedConnectionWithoutRequestIsNotReported(t *testing.T) {
	s := newObservedServer(t, waitTimeout, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	}, plain)
	s.dial("GET /a HTTP/1.1\r\nConnection: close\r\nHost: h\r\n\r\n")
	_ = s.dial("GET /a HTTP/1.1\r\nHo").Close()
	s.dial(wholeRequest)
	if !holdsInTime(func() bool {
		s.clock.Advance(time.Second)
		s.conns.CloseIdle()
		return s.conns.Open() == 0
	}) {
		t.Fatal("connections stay open")
	}
	if len(s.unread) > 0 {
		t.Errorf("reported %+v", <-s.unread)
	}
}

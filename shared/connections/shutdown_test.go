package connections_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"cowslipshunt.example/shared/connections"
	"github.com/jonboulle/clockwork"
)

// TestRequestReadAsServerShutsDownIsAnswered guards against requests that a stopping server has read and drops: http.Server closes
// connections whose request it has not parsed yet, and drops requests that it reads just after the shutdown began.
func TestRequestReadAsServerShutsDownIsAnswered(t *testing.T) {
	f := newFixture(t)
	f.request(wholeRequest)
	stopped := make(chan error, 1)
	var once sync.Once
	f.onRead(func() {
		once.Do(func() {
			go func() { stopped <- f.conns.Shutdown(context.Background()) }()
			if !holdsInTime(func() bool { return isRefused(f.address) }) {
				t.Error("the listener was not closed")
			}
			f.clock.Advance(time.Second)
		})
	})
	resp := f.request(wholeRequest)
	if !resp.Close {
		t.Error("the answer does not ask the caller to close the connection")
	}
	f.waitFor("the end of the shutdown", func() bool {
		f.clock.Advance(time.Second)
		return len(stopped) == 1
	})
	if err := <-stopped; err != nil {
		t.Errorf("the shutdown returned %v", err)
	}
}

// isRefused reports whether an address refuses connections.
func isRefused(address string) bool {
	c, err := net.Dial("tcp", address)
	if err == nil {
		_ = c.Close()
	}
	return err != nil
}

// TestListenerClosesOnce guards against shutdowns that fail although nothing is wrong: both the tracker and http.Server close the listener.
func TestListenerClosesOnce(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := connections.Track(&http.Server{}, clockwork.NewRealClock()).Listener(inner)
	for range 2 {
		if err := l.Close(); err != nil {
			t.Error(err)
		}
	}
	if _, err := l.Accept(); err == nil {
		t.Error("the listener still accepts connections")
	}
}

// TestShutdownClosesIdleConnections checks that a shutdown does not wait for connections that their callers keep.
func TestShutdownClosesIdleConnections(t *testing.T) {
	f := newFixture(t)
	f.request(wholeRequest)
	stopped := make(chan error, 1)
	go func() { stopped <- f.conns.Shutdown(context.Background()) }()
	f.waitFor("the end of the shutdown", func() bool {
		f.clock.Advance(time.Second)
		return len(stopped) == 1
	})
	if err := <-stopped; err != nil {
		t.Errorf("the shutdown returned %v", err)
	}
}

// heldListener returns its first connection only once release is closed; accepted is closed before.
type heldListener struct {
	net.Listener
	once              sync.Once
	accepted, release chan struct{}
}

func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.once.Do(func() {
		close(l.accepted)
		<-l.release
	})
	return c, err
}

// TestConnectionAcceptedAsServerShutsDownIsServed guards against requests that are read and dropped: their connection was accepted just
// before the shutdown, and the server does not know it yet.
func TestConnectionAcceptedAsServerShutsDownIsServed(t *testing.T) {
	server := &http.Server{ReadHeaderTimeout: waitTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	})}
	conns := connections.Track(server, clockwork.NewRealClock())
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &heldListener{Listener: inner, accepted: make(chan struct{}), release: make(chan struct{})}
	go func() { _ = server.Serve(conns.Listener(l)) }()
	defer func() { _ = server.Close() }()
	c, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, wholeRequest); err != nil {
		t.Fatal(err)
	}
	<-l.accepted
	stopped := make(chan error, 1)
	go func() { stopped <- conns.Shutdown(t.Context()) }()
	select {
	case <-stopped:
		t.Error("the shutdown ended although a connection was accepted and not served")
	case <-time.After(100 * time.Millisecond):
	}
	close(l.release)
	_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
	if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
		t.Errorf("the request got no answer: %v", err)
	}
}

// fullListener holds back the first connection, so that those after it wait in the kernel's queue. stopping is closed once the listener is
// asked to stop.
type fullListener struct {
	*net.TCPListener
	accept, stop                sync.Once
	accepted, release, stopping chan struct{}
}

func (l *fullListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	l.accept.Do(func() {
		close(l.accepted)
		<-l.release
	})
	return c, err
}

func (l *fullListener) Close() error {
	err := l.TCPListener.Close()
	l.stop.Do(func() { close(l.stopping) })
	return err
}

func (l *fullListener) SetDeadline(t time.Time) error {
	err := l.TCPListener.SetDeadline(t)
	l.stop.Do(func() { close(l.stopping) })
	return err
}

// TestConnectionsInQueueAsServerShutsDownAreServed guards against requests that are reset: their connections are open to their callers, and
// wait in the kernel's queue as the listener is closed.
func TestConnectionsInQueueAsServerShutsDownAreServed(t *testing.T) {
	var l *fullListener
	s := newObservedServer(t, waitTimeout, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	}, func(_ *observedServer, inner net.Listener) net.Listener {
		l = &fullListener{TCPListener: inner.(*net.TCPListener), accepted: make(chan struct{}), release: make(chan struct{}), stopping: make(chan struct{})}
		return l
	})
	callers := []net.Conn{s.dial(wholeRequest)}
	<-l.accepted
	for range 5 {
		callers = append(callers, s.dial(wholeRequest))
	}
	stopped := make(chan error, 1)
	go func() { stopped <- s.conns.Shutdown(t.Context()) }()
	<-l.stopping
	close(l.release)
	for i, c := range callers {
		_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Errorf("request %d got no answer: %v", i, err)
			continue
		}
		if !resp.Close {
			t.Errorf("answer %d does not ask the caller to close the connection", i)
		}
	}
	if !holdsInTime(func() bool {
		s.clock.Advance(time.Second)
		return len(stopped) == 1
	}) {
		t.Fatal("the shutdown does not end")
	}
	if err := <-stopped; err != nil {
		t.Errorf("the shutdown returned %v", err)
	}
	if !isRefused(s.address) {
		t.Error("the listener is open after the shutdown")
	}
}

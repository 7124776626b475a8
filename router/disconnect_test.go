package main

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/platform/platformtest"
	"cowslipshunt.example/shared/connections"
	"github.com/jonboulle/clockwork"
)

// maxWorkAfterDisconnect is the platform's bound on how long an endpoint may work for a caller that has disconnected.
const maxWorkAfterDisconnect = 500 * time.Millisecond

// TestCallerDisconnectCancelsEndpointRequest closes a caller's connection while an endpoint works on its request.
// The connection to the endpoint has to be closed in time, so that the endpoint stops.
func TestCallerDisconnectCancelsEndpointRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	received, disconnected := make(chan struct{}), make(chan time.Time, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		in := bufio.NewReader(c)
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		close(received)
		_, _ = in.ReadByte()
		disconnected <- time.Now()
	}()
	x := startInstance(t, respondDone)
	x.configure(1, "k")
	x.store.Put(platform.ReplicaTable, "i-1", platformtest.Entry(l.Addr().String(), "ready"))
	x.eventually("a ready instance", x.ready)
	x.eventually("a listed endpoint", func() bool { return strings.Contains(x.log.String(), `"message":"Endpoint"`) })
	ctx, disconnect := context.WithCancel(t.Context())
	defer disconnect()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+x.settings.CallerAddress+"/a/b", strings.NewReader("book"))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	platformtest.Identify(req.Header, "1", "k")
	go func() {
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}()
	<-received
	disconnect()
	disconnectedAt := time.Now()
	select {
	case at := <-disconnected:
		if took := at.Sub(disconnectedAt); took > maxWorkAfterDisconnect {
			t.Errorf("the connection to the endpoint was closed %v after the caller disconnected, want at most %v", took, maxWorkAfterDisconnect)
		}
	case <-time.After(waitTimeout):
		t.Fatal("the connection to the endpoint is still open after the caller disconnected")
	}
}

// TestIdleCallerConnectionsCloseAfterTimeout checks that an idle connection is closed after the timeout, and not before.
func TestIdleCallerConnectionsCloseAfterTimeout(t *testing.T) {
	const timeout = time.Second
	server := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: headerTimeout}
	clock := clockwork.NewFakeClock()
	conns := connections.Track(server, clock)
	conns.SetIdleTimeout(timeout)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(conns.Listener(l)) }()
	defer func() { _ = server.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	exchange := func() error {
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			return err
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	if err := exchange(); err != nil {
		t.Fatal(err)
	}
	clock.Advance(timeout)
	conns.CloseExpired()
	if err := exchange(); err != nil {
		t.Fatalf("a connection that was idle for less than the timeout was closed: %v", err)
	}
	for deadline := time.Now().Add(waitTimeout); ; conns.CloseExpired() {
		clock.Advance(timeout)
		_ = c.SetReadDeadline(time.Now().Add(pollInterval))
		if _, err := in.ReadByte(); err == io.EOF {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("a connection that was idle for longer than the timeout is still open")
		}
	}
}

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
)

// workAfterLeaving is the platform's bound on how long an endpoint may work for a client that has left.
const workAfterLeaving = 500 * time.Millisecond

// TestClientWhoLeavesEndsTheWork closes a client's connection while its endpoint works, and waits until the endpoint sees that.
func TestClientWhoLeavesEndsTheWork(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	came, ended := make(chan struct{}), make(chan time.Time, 1)
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
		close(came)
		_, _ = in.ReadByte()
		ended <- time.Now()
	}()
	x := start(t, whole)
	x.configure(1, "k")
	x.store.Put(platform.ReplicaTable, "i-1", platformtest.Entry(l.Addr().String(), "ready"))
	x.eventually("a ready instance", x.ready)
	x.eventually("a listed replica", func() bool { return strings.Contains(x.log.String(), `"message":"Endpoint"`) })
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
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
	<-came
	leave()
	left := time.Now()
	select {
	case at := <-ended:
		if took := at.Sub(left); took > workAfterLeaving {
			t.Errorf("the endpoint worked for %v more", took)
		}
	case <-time.After(within):
		t.Fatal("the endpoint works on for a client that has left")
	}
}

// TestIdleConnectionsOfCallersEndWithTheConfiguredLimit holds that a connection that rested for less is kept.
func TestIdleConnectionsOfCallersEndWithTheConfiguredLimit(t *testing.T) {
	const limit = time.Second
	idle := newIdleConns()
	server := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: headerTimeout, ConnState: idle.note}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	ask := func() error {
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
	if err := ask(); err != nil {
		t.Fatal(err)
	}
	idle.closeOlder(limit)
	if err := ask(); err != nil {
		t.Fatalf("a connection that rested for less than the limit ended: %v", err)
	}
	for deadline := time.Now().Add(within); ; idle.closeOlder(0) {
		_ = c.SetReadDeadline(time.Now().Add(look))
		if _, err := in.ReadByte(); err == io.EOF {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("an idle connection beyond the limit is kept")
		}
	}
}

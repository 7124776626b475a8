package process_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"cowslipshunt.example/shared/process"
)

func TestReadyzReflectsSetReady(t *testing.T) {
	o := process.NewOperations()
	for _, ready := range []bool{false, true, false} {
		o.SetReady(ready)
		w := httptest.NewRecorder()
		o.Router.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/readyz", nil))
		if got := w.Code == http.StatusOK; got != ready {
			t.Errorf("ready %v: /readyz answered %d", ready, w.Code)
		}
	}
}

// TestOpenRequestsAreAnsweredAtEndOfGrace guards against requests that get neither an answer nor a refusal, as their connections are closed
// at the end of the grace period of a stop. A handler that does not end must not keep the server from stopping.
func TestOpenRequestsAreAnsweredAtEndOfGrace(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	reached, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	srv := process.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reached <- struct{}{}
		<-r.Context().Done()
		if r.URL.Path == "/stuck" {
			<-release
			return
		}
		if cause := context.Cause(r.Context()); !errors.Is(cause, process.ErrStopping) {
			t.Errorf("the request ended by %v", cause)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- process.Serve(ctx, srv, l, 50*time.Millisecond) }()
	var conns []net.Conn
	for _, path := range []string{"/", "/stuck"} {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if _, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		<-reached
		conns = append(conns, conn)
	}
	stop()
	resp, err := http.ReadResponse(bufio.NewReader(conns[0]), nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("an open request got %+v, %v", resp, err)
	}
	if err := <-served; !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("the server ended with %v", err)
	}
	if _, err := conns[1].Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the connection of a stuck request: %v", err)
	}
}

package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"cowslipshunt.example/serving/intake"
	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/route"
	"github.com/jonboulle/clockwork"
)

// lateRelay answers each request after its caller has disconnected.
type lateRelay struct{}

func (lateRelay) Serve(ctx context.Context, _ *relay.Request, c relay.Caller) {
	<-ctx.Done()
	c.Answer(http.StatusOK, relay.Header{}, []byte("done"))
}

func (lateRelay) Table() *route.Table { return nil }

// TestUndeliveredAnswerIsLogged guards against answers that get lost without a trace in the log: small ones are buffered, so that writing
// them reports no error.
func TestUndeliveredAnswerIsLogged(t *testing.T) {
	out := &logBuffer{}
	server := newCallerServer(t.Context(), newCallerHandler(lateRelay{}, intake.New(clockwork.NewRealClock(), shareOf(0)), newLogger(out, "debug", "a")))
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
	if err := c.(*net.TCPConn).SetLinger(0); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
	waitFor(t, "a line about the answer", func() bool { return strings.Contains(out.String(), `"message":"Undelivered"`) })
}

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cowslipshunt.example/serving/intake"
	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/route"
	"github.com/jonboulle/clockwork"
)

// limitedRelay has a configuration that limits the bodies of requests. It answers the requests that reach it with status 200.
type limitedRelay struct {
	maxBody int64
}

func (limitedRelay) Serve(_ context.Context, _ *relay.Request, c relay.Caller) {
	c.Answer(http.StatusOK, relay.Header{}, nil)
}

func (r limitedRelay) Table() *route.Table {
	return &route.Table{Limits: route.Limits{MaxBody: r.maxBody}}
}

// TestRequestWithUnreadableBodyIsRefused guards against requests that end with neither an answer nor a refusal: a new configuration lowers
// the limit of bodies, or a body is malformed.
func TestRequestWithUnreadableBodyIsRefused(t *testing.T) {
	const limit = 1000
	server := newCallerServer(t.Context(), newCallerHandler(limitedRelay{maxBody: limit}, intake.New(clockwork.NewRealClock(), shareOf(0)), newLogger(io.Discard, "debug", "a")))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	within, over := strings.Repeat("x", limit), strings.Repeat("x", limit+1)
	for name, test := range map[string]struct {
		request string
		status  int
	}{
		"at the limit":           {fmt.Sprintf("Content-Length: %d\r\n\r\n%s", limit, within), http.StatusOK},
		"over the limit":         {fmt.Sprintf("Content-Length: %d\r\n\r\n%s", limit+1, over), http.StatusRequestEntityTooLarge},
		"over, in chunks":        {fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", limit+1, over), http.StatusRequestEntityTooLarge},
		"malformed chunk length": {"Transfer-Encoding: chunked\r\n\r\nxyz\r\n", http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\n"+test.request); err != nil {
				t.Fatal(err)
			}
			_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatalf("the request got no answer: %v", err)
			}
			if resp.StatusCode != test.status {
				t.Errorf("got status %d, want %d", resp.StatusCode, test.status)
			}
		})
	}
}

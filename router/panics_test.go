package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cowslipshunt.example/platform/platformtest"
	"cowslipshunt.example/serving/intake"
	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/replication"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/serving/route"
	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
)

// panickingRelay panics for each request, after the head of a stream if begins is set.
type panickingRelay struct {
	begins bool
}

func (p panickingRelay) Serve(_ context.Context, _ *relay.Request, c relay.Caller) {
	if p.begins {
		c.Begin(http.StatusOK, nil)
		if err := c.Event([]byte("data: x\n\n")); err != nil {
			panic(err)
		}
	}
	var none *relay.Request
	_ = none.Body
}

func (panickingRelay) Table() *route.Table { return nil }

// TestPanicFailsOneRequestOnly checks that the client of a request that panics gets a refusal that promises nothing, or a stream
// that looks incomplete, and that the log names the request.
func TestPanicFailsOneRequestOnly(t *testing.T) {
	for _, begins := range []bool{false, true} {
		output := &logBuffer{}
		h := newCallerHandler(panickingRelay{begins: begins}, intake.New(clockwork.NewRealClock(), shareOf(0)), newLogger(output, "debug", "i"))
		server := httptest.NewServer(h)
		defer server.Close()
		for range 2 {
			req, err := http.NewRequest(http.MethodGet, server.URL, nil)
			if err != nil {
				t.Fatal(err)
			}
			platformtest.Identify(req.Header, "r-7", "k")
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if begins && err == nil {
				t.Error("a stream that ended with a panic looks complete")
			}
			if !begins && (resp.StatusCode != http.StatusBadGateway || !strings.HasPrefix(string(body), "Unknown")) {
				t.Errorf("got status %d and %q", resp.StatusCode, body)
			}
		}
		waitFor(t, "the line about the panic", func() bool {
			return strings.Contains(output.String(), `"message":"Panicked"`) && strings.Contains(output.String(), `"Request":"r-7"`)
		})
	}
}

// TestPanicOfBackgroundWorkIsReturned checks that a panic in work without a request is returned as an error and logged.
func TestPanicOfBackgroundWorkIsReturned(t *testing.T) {
	output := &logBuffer{}
	logger := newLogger(output, "debug", "i")
	err := protect(logger, "table t", func() {
		var rows []int
		_ = rows[len(output.String())]
	})
	if err == nil || !strings.Contains(err.Error(), "table t panicked") {
		t.Errorf("got %v", err)
	}
	waitFor(t, "the line about the panic", func() bool { return strings.Contains(output.String(), `"Work":"table t"`) })
	if err := protect(logger, "nothing", func() {}); err != nil {
		t.Errorf("got %v", err)
	}
}

// FuzzDatagram passes malformed datagrams to a receiver, which has to ignore what it cannot read and what lists no usable endpoint.
func FuzzDatagram(f *testing.F) {
	p := newTestPeers(f)
	d := roster.NewDirectory()
	receiver := replicas{role: func() replication.Role { return replication.Receiver }, maxSilence: time.Minute}
	x := newFollowers(nil, nil, d, func() int { return 80 }, receiver, p.logger)
	x.endpoints.version, x.configuration.version = 5, 5
	p.setFollowers(x)
	for _, seed := range datagramSeeds(f) {
		f.Add(seed)
	}
	for _, u := range malformedUpdates(5) {
		u.Table = x.endpoints.table
		seed, err := cbor.Marshal(message{Update: &u})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(seed)
	}
	f.Add(bytes.Repeat([]byte{0x81}, maxHandoffBytes))
	f.Fuzz(func(t *testing.T, data []byte) {
		p.receive(data)
		for id, e := range d.View().All() {
			if err := e.Entry().Check(); err != nil {
				t.Fatalf("endpoint %q is listed: %v", id, err)
			}
		}
	})
}

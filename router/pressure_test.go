package main

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cowslipshunt.example/platform/platformtest"
)

// TestSlowReadersGiveWayToHealthyOne guards against an instance whose memory for responses is held by callers that read nothing: a healthy caller
// gets its whole response, and no more callers than needed are disconnected.
func TestSlowReadersGiveWayToHealthyOne(t *testing.T) {
	const (
		// responseBytes is more than the kernel takes for a caller, and occupies a buffer of 8 MB; 22 MB hold two of these and not a third.
		responseBytes = 7 << 20
		memorySetting = "limits.memory_mb=88\ncontracts=pressure\n"
		// stall is a little longer than callers may take nothing.
		stall = 5500 * time.Millisecond
	)
	body := strings.Repeat("x", responseBytes)
	x := startInstance(t, func(r *http.Request, _ []byte) (string, bool) {
		return platformtest.SealedResponse(r, http.StatusOK, body), true
	},
		func(s string) string { return s + memorySetting })
	x.configure(1, "k1")
	x.listEndpoint("i-1", "ready")
	x.eventually("a request that is served", func() bool {
		status, _ := x.post("first", "k1")
		return status == http.StatusOK
	})
	for n, id := range []string{"slow-1", "slow-2"} {
		c, err := net.Dial("tcp", x.settings.CallerAddress)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		if err := c.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
			t.Fatal(err)
		}
		req, err := http.NewRequest(http.MethodPost, "http://"+x.settings.CallerAddress+"/a/b", strings.NewReader("book"))
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "h.example"
		platformtest.Identify(req.Header, id, "k1")
		if err := req.Write(c); err != nil {
			t.Fatal(err)
		}
		x.eventually("a response that is written", func() bool { return strings.Count(x.log.String(), `"Answered"`) == n+2 })
	}
	time.Sleep(stall)
	if status, got := x.post("healthy", "k1"); status != http.StatusOK || len(got) != responseBytes {
		t.Errorf("status %d with %d bytes; the log is:\n%s", status, len(got), x.log)
	}
	if n := strings.Count(x.log.String(), "SlowReaderDisconnected"); n != 1 {
		t.Errorf("%d callers were disconnected; the log is:\n%s", n, x.log)
	}
}

package proof

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// bodyWithin is BodyMillis of the tests' entries.
const bodyWithin = 500 * time.Millisecond

// TestSlowCallerIsRefused opens requests whose bodies never come, and demands an error for them in time and answers for
// everybody else meanwhile.
func TestSlowCallerIsRefused(t *testing.T) {
	p := small()
	p.entrySettings = "BodyMillis = 500\n"
	s := newSmall(t, p)
	for _, path := range []string{"/v1/chat/completions", "/services/" + testService + "/bookings"} {
		conn, err := net.Dial("tcp", s.members[0].address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		began := time.Now()
		fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", path, testKey)
		if res := newCaller(testKey).chat(s.members[0].address, "meanwhile", 3); res.status != http.StatusOK {
			t.Errorf("another caller got %d %s", res.status, res.body)
		}
		_ = conn.SetReadDeadline(began.Add(10 * bodyWithin))
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("%s: no answer after %v: %v", path, time.Since(began), err)
		}
		if answer.StatusCode != http.StatusRequestTimeout || answer.Header.Get("Outcome") != "NotRun" {
			t.Errorf("%s: status %d, outcome %q", path, answer.StatusCode, answer.Header.Get("Outcome"))
		}
	}
}

// TestOversizedCallerIsRefused sends more body and more header than an entry takes.
func TestOversizedCallerIsRefused(t *testing.T) {
	s := newSmall(t, small())
	c := newCaller(testKey)
	large := strings.Repeat("x", 9<<20)
	res := c.call(http.MethodPost, s.members[0].address, "/v1/chat/completions", large, nil)
	if res.err == nil && (res.status != http.StatusRequestEntityTooLarge || res.outcome != "NotRun") {
		t.Errorf("body: status %d, outcome %q", res.status, res.outcome)
	}
	res = c.call(http.MethodGet, s.members[0].address, "/v1/models", "", http.Header{"X-Large": {large[:64<<10]}})
	if res.status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("header: status %d, %v", res.status, res.err)
	}
	if res := c.chat(s.members[0].address, "after", 3); res.status != http.StatusOK {
		t.Errorf("afterwards: status %d", res.status)
	}
	if n := len(s.engineRuns()); n != 1 {
		t.Errorf("the engine got %d requests, not 1", n)
	}
}

package proof

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cowslipshunt.example/shared/process"
	"cowslipshunt.example/wire"
)

// bodyTimeout is the BodyMillis setting of the entries in TestSlowCallerIsRefused.
const bodyTimeout = 500 * time.Millisecond

// TestSlowCallerIsRefused opens requests whose bodies never arrive. They must be refused in time, and other callers must be
// answered meanwhile.
func TestSlowCallerIsRefused(t *testing.T) {
	p := smallPlan()
	p.entrySettings = "BodyMillis = 500\n"
	s := newReadySystem(t, p)
	for _, path := range []string{"/v1/chat/completions", "/services/" + testService + "/bookings"} {
		conn, err := net.Dial("tcp", s.instances[0].address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		began := time.Now()
		fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", path, testKey)
		if res := newCaller(testKey).chat(s.instances[0].address, "meanwhile", 3); res.status != http.StatusOK {
			t.Errorf("another caller got %d %s", res.status, res.body)
		}
		_ = conn.SetReadDeadline(began.Add(10 * bodyTimeout))
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("%s: no answer after %v: %v", path, time.Since(began), err)
		}
		if answer.StatusCode != http.StatusRequestTimeout || answer.Header.Get("Outcome") != "NotRun" {
			t.Errorf("%s: status %d, outcome %q", path, answer.StatusCode, answer.Header.Get("Outcome"))
		}
	}
}

// TestLateAnswersAreNotRefused guards against refusals with 502 or 504 of requests whose endpoint is only late, in the caller's failure
// domain or in the one to which the request is forwarded.
func TestLateAnswersAreNotRefused(t *testing.T) {
	p := smallPlan()
	p.domains = []string{"a", "b"}
	p.entrySettings = "StallMillis = 300\n"
	s := newSystem(t, p)
	startLeaseHolder(t, s, "a")
	for _, m := range s.in("a") {
		eventually(t, m.name+" lists endpoints", func() bool { return len(s.status(m).Endpoints) > 0 })
	}
	s.waitLinked(t)
	s.post(s.endpointIn(s.services, "a").address, "/fault", wire.ServiceFault{DelayMillis: 1000})
	for _, m := range []*instance{s.in("a")[0], s.in("b")[0]} {
		for _, key := range []string{"", "key-" + m.name} {
			if res := newCaller(testKey).book(m.address, "hall-"+m.name+key, key); res.status != http.StatusOK {
				t.Errorf("%s, key %q: %d %s", m.name, key, res.status, res.body)
			}
		}
		if res := newCaller(testKey).chat(m.address, "a long itinerary", 400); res.status != http.StatusOK {
			t.Errorf("%s: a chat was answered %d %s", m.name, res.status, res.body)
		}
	}
}

// TestStopAnswersOpenRequests guards against requests that get neither an answer nor a refusal, as the entry reaches the end of a graceful
// stop before their endpoint answers. A stream that has begun must be visibly cut.
func TestStopAnswersOpenRequests(t *testing.T) {
	p := smallPlan()
	p.entrySettings = "LeaveMillis = 1000\nStopMillis = 300\n"
	s := newReadySystem(t, p)
	s.setServiceFaults(wire.ServiceFault{DelayMillis: 10_000})
	for _, e := range s.engines {
		s.post(e.address, "/fault", wire.EngineFault{StallAfterTokens: 3})
	}
	address := s.instances[0].address
	requests := map[string]func() result{
		"chat":            func() result { return newCaller(testKey).chat(address, "a venue", 10) },
		"stream":          func() result { return newCaller(testKey).stream(address, "a venue", 10, nil) },
		"booking":         func() result { return newCaller(testKey).book(address, "hall", "") },
		"claimed booking": func() result { return newCaller(testKey).book(address, "room", "key") },
	}
	var work sync.WaitGroup
	for name, send := range requests {
		work.Go(func() {
			res := send()
			if name == "stream" {
				if res.complete || res.err == nil || len(res.tokens) != 3 {
					t.Errorf("%s: complete %v, %d tokens, err %v", name, res.complete, len(res.tokens), res.err)
				}
				return
			}
			if res.outcome != "Unknown" || res.status < http.StatusInternalServerError {
				t.Errorf("%s: status %d, outcome %q, err %v", name, res.status, res.outcome, res.err)
			}
		})
	}
	eventually(t, "the chats are at their engines", func() bool { return len(s.engineRuns()) == 2 })
	if code := s.instances[0].entry.stop(t); code != process.ExitIncomplete {
		t.Errorf("the entry exited %d", code)
	}
	work.Wait()
}

// TestOversizedCallerIsRefused sends a body and a header that exceed an entry's limits. Both must be refused without reaching
// an engine, and the next request must be served.
func TestOversizedCallerIsRefused(t *testing.T) {
	s := newReadySystem(t, smallPlan())
	c := newCaller(testKey)
	large := strings.Repeat("x", 9<<20)
	res := c.call(http.MethodPost, s.instances[0].address, "/v1/chat/completions", large, nil)
	if res.err == nil && (res.status != http.StatusRequestEntityTooLarge || res.outcome != "NotRun") {
		t.Errorf("body: status %d, outcome %q", res.status, res.outcome)
	}
	res = c.call(http.MethodGet, s.instances[0].address, "/v1/models", "", http.Header{"X-Large": {large[:64<<10]}})
	if res.status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("header: status %d, %v", res.status, res.err)
	}
	if res := c.chat(s.instances[0].address, "after", 3); res.status != http.StatusOK {
		t.Errorf("afterwards: status %d", res.status)
	}
	if n := len(s.engineRuns()); n != 1 {
		t.Errorf("the engine got %d requests, not 1", n)
	}
}

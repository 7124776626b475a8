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

	"cowslipshunt.example/wire"
)

// forgedHeaders are ways in which a caller may claim another workspace; each is sent as it is spelt here.
func forgedHeaders() []http.Header {
	return []http.Header{
		{"Workspace": {otherSpace}},
		{"workspace": {otherSpace}},
		{"WORKSPACE": {otherSpace, testWorkspace}},
		{"Workspace": {"", otherSpace}},
		{"X-Workspace": {otherSpace}, "wOrKsPaCe": {otherSpace}},
		{"Workspace": {otherSpace}, "Connection": {"Workspace, Request-Id"}},
		{"Workspace": {otherSpace}, "Request-Id": {"forged"}, "Attempt": {"7"}, "Priority": {"0"}},
	}
}

// TestKeyRunsOnlyItsWorkspace sends requests of two workspaces over shared connections with forged headers, in a domain
// with endpoints and in one whose entries pass everything on, and demands that every run was for the key's workspace.
func TestKeyRunsOnlyItsWorkspace(t *testing.T) {
	p := twoDomains()
	s := newSystem(t, p)
	s.serveOnly(t, "a")
	before := len(s.engineRuns())
	owners := map[string]string{testKey: testWorkspace, otherKey: otherSpace}
	shared := newCaller("")
	var work sync.WaitGroup
	sent := 0
	for key, owner := range owners {
		for i, forged := range forgedHeaders() {
			for _, m := range s.members {
				sent++
				work.Go(func() {
					c := &caller{key: key, http: shared.http}
					header := forged.Clone()
					header["Content-Type"] = []string{"application/json"}
					prompt := fmt.Sprintf("of %s number %d", owner, i)
					res := c.call(http.MethodPost, m.address, "/v1/chat/completions", chatBody(prompt, 2, false), header)
					if res.status != http.StatusOK {
						t.Errorf("%s: %s: %d %s %v", m.name, prompt, res.status, res.body, res.err)
					}
				})
			}
		}
	}
	work.Wait()
	runs := s.engineRuns()[before:]
	for _, r := range runs {
		if !strings.Contains(r.Prompt, "of "+string(r.Workspace)+" ") {
			t.Errorf("%q ran for workspace %q", r.Prompt, r.Workspace)
		}
		if r.Request == "forged" {
			t.Errorf("%q ran under a forged request id", r.Prompt)
		}
	}
	if len(runs) != sent {
		t.Errorf("%d requests, %d runs", sent, len(runs))
	}
	t.Logf("%d requests of 2 workspaces, %d runs, each for its key's workspace", sent, len(runs))
}

// TestKeyCannotBeForgedAtPeers connects to the peers' address as a stranger, with a wrong secret and without one, and
// demands that nothing runs and that no control link comes up.
func TestKeyCannotBeForgedAtPeers(t *testing.T) {
	s := newSmall(t, small())
	for _, secret := range []string{"", "wrong-secret-of-some-length", strings.ToUpper(peerSecret)} {
		for _, path := range []string{"/v1/chat/completions", "/services/" + testService + "/bookings"} {
			header := http.Header{"workspace": {otherSpace}, "Request-Id": {"forged"}, "Content-Type": {"application/json"}}
			if secret != "" {
				header.Set("Peer-Secret", secret)
			}
			body := chatBody("forged", 2, false)
			if strings.HasPrefix(path, "/services") {
				body = `{"Booking":"forged"}`
			}
			res := newCaller("").call(http.MethodPost, s.members[0].peerProxy.target, "/forward"+path, body, header)
			if res.status != http.StatusForbidden {
				t.Errorf("/forward%s with secret %q: %d %s", path, secret, res.status, res.body)
			}
		}
		if status := upgrade(t, s.members[0].peerProxy.target, secret); status != http.StatusForbidden {
			t.Errorf("/control with secret %q: status %d", secret, status)
		}
	}
	if n := len(s.bookingRuns()); n != 0 {
		t.Errorf("%d forged bookings ran", n)
	}
	for _, r := range s.engineRuns() {
		if r.Request == "forged" {
			t.Errorf("a forged request ran for %q", r.Workspace)
		}
	}
}

// upgrade asks for a control link as a WebSocket client does, and returns the answer's status.
func upgrade(t *testing.T, address, secret string) int {
	t.Helper()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	r, err := http.NewRequest(http.MethodGet, "http://"+address+"/control", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header = http.Header{
		"Connection": {"Upgrade"}, "Upgrade": {"websocket"}, "Sec-Websocket-Version": {"13"},
		"Sec-Websocket-Key": {"AAAAAAAAAAAAAAAAAAAAAA=="},
	}
	if secret != "" {
		r.Header.Set("Peer-Secret", secret)
	}
	if err := r.Write(c); err != nil {
		t.Fatal(err)
	}
	answer, err := http.ReadResponse(bufio.NewReader(c), r)
	if err != nil {
		t.Fatal(err)
	}
	return answer.StatusCode
}

// TestKeyOfPeersIsNotSentOn shows that endpoints never see the peers' secret, also not from a caller who sends it.
func TestKeyOfPeersIsNotSentOn(t *testing.T) {
	s := newSystem(t, twoDomains())
	s.serveOnly(t, "a")
	for _, m := range s.members {
		header := http.Header{"Peer-Secret": {peerSecret}, "Content-Type": {"application/json"}}
		res := newCaller(testKey).call(http.MethodPost, m.address, "/services/"+testService+"/bookings", `{"Booking":"`+m.name+`"}`, header)
		if res.status != http.StatusOK {
			t.Errorf("%s: %d %s", m.name, res.status, res.body)
		}
	}
	received := fmt.Sprint(s.engineRuns())
	for _, e := range s.services {
		received += fmt.Sprint(get[wire.ServiceReceivedList](e.address, "/received"))
	}
	if strings.Contains(strings.ToLower(received), "secret") || len(s.bookingRuns()) != len(s.members) {
		t.Errorf("an endpoint saw the secret, or a booking did not run: %s", received)
	}
}

// serveOnly lists the endpoints of one domain alone, so that entries of others pass requests on, and waits until they serve.
func (s *system) serveOnly(t *testing.T, domain string) {
	t.Helper()
	startHolder(t, s, domain)
	for _, m := range s.members {
		if m.domain == domain {
			eventually(t, m.name+" lists endpoints", func() bool { return len(s.status(m).Endpoints) > 0 })
		}
	}
}

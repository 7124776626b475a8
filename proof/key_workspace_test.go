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

// forgedHeaders returns headers with which a caller might claim another workspace. Their names are sent as spelled here.
func forgedHeaders() []http.Header {
	return []http.Header{
		{"Workspace": {otherWorkspace}},
		{"workspace": {otherWorkspace}},
		{"WORKSPACE": {otherWorkspace, testWorkspace}},
		{"Workspace": {"", otherWorkspace}},
		{"X-Workspace": {otherWorkspace}, "wOrKsPaCe": {otherWorkspace}},
		{"Workspace": {otherWorkspace}, "Connection": {"Workspace, Request-Id"}},
		{"Workspace": {otherWorkspace}, "Request-Id": {"forged"}, "Attempt": {"7"}, "Priority": {"0"}},
	}
}

// TestKeyRunsOnlyItsWorkspace sends requests of two workspaces over shared connections with forged headers, in a domain
// with endpoints and in one whose entries forward all requests. Every run must be for the workspace of the request's key.
func TestKeyRunsOnlyItsWorkspace(t *testing.T) {
	p := twoDomainPlan()
	s := newSystem(t, p)
	s.serveFromDomain(t, "a")
	before := len(s.engineRuns())
	owners := map[string]string{testKey: testWorkspace, otherKey: otherWorkspace}
	shared := newCaller("")
	var work sync.WaitGroup
	sent := 0
	for key, owner := range owners {
		for i, forged := range forgedHeaders() {
			for _, m := range s.instances {
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

// TestKeyCannotBeForgedAtPeers connects to an entry's peer address with a wrong secret and without one. Nothing may run, and
// no control link may come up.
func TestKeyCannotBeForgedAtPeers(t *testing.T) {
	s := newReadySystem(t, smallPlan())
	for _, secret := range []string{"", "wrong-secret-of-some-length", strings.ToUpper(peerSecret)} {
		for _, path := range []string{"/v1/chat/completions", "/services/" + testService + "/bookings"} {
			header := http.Header{"workspace": {otherWorkspace}, "Request-Id": {"forged"}, "Content-Type": {"application/json"}}
			if secret != "" {
				header.Set("Peer-Secret", secret)
			}
			body := chatBody("forged", 2, false)
			if strings.HasPrefix(path, "/services") {
				body = `{"Booking":"forged"}`
			}
			res := newCaller("").call(http.MethodPost, s.instances[0].peerProxy.target, "/forward"+path, body, header)
			if res.status != http.StatusForbidden {
				t.Errorf("/forward%s with secret %q: %d %s", path, secret, res.status, res.body)
			}
		}
		if status := upgrade(t, s.instances[0].peerProxy.target, secret); status != http.StatusForbidden {
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

// upgrade sends the WebSocket handshake that opens a control link, and returns the status of the answer.
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

// TestPeerSecretIsNotForwarded checks that endpoints never receive the peers' secret, even if a caller sends it.
func TestPeerSecretIsNotForwarded(t *testing.T) {
	s := newSystem(t, twoDomainPlan())
	s.serveFromDomain(t, "a")
	for _, m := range s.instances {
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
	if strings.Contains(strings.ToLower(received), "secret") || len(s.bookingRuns()) != len(s.instances) {
		t.Errorf("an endpoint received the secret, or a booking did not run: %s", received)
	}
}

// serveFromDomain lists the endpoints of one domain only, so that entries of other domains forward requests, and waits until
// the domain's entries have them.
func (s *system) serveFromDomain(t *testing.T, domain string) {
	t.Helper()
	startLeaseHolder(t, s, domain)
	for _, m := range s.instances {
		if m.domain == domain {
			eventually(t, m.name+" lists endpoints", func() bool { return len(s.status(m).Endpoints) > 0 })
		}
	}
}

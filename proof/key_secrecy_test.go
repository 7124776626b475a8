package proof

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cowslipshunt.example/wire"
)

const (
	wrongKey     = "csh_a-key-that-no-document-holds"
	markerPrompt = "zanzibar-marker-of-a-prompt"
)

// openRequests are ways to call an open route with a wrong key, and with none.
func openRequests() []http.Header {
	return []http.Header{
		{},
		{"Authorization": {"Bearer " + wrongKey}},
		{"Authorization": {"bearer " + wrongKey}, "Cookie": {"k=" + wrongKey + "; theme=dark"}},
		{"X-Api-Key": {wrongKey}, "X-Trace": {"of " + wrongKey}},
		{"Authorization": {"Bearer " + wrongKey}, "Workspace": {otherSpace}, "X-Other": {strings.ToUpper(wrongKey)}},
		{"Authorization": {"Basic " + wrongKey}, "Api-Key": {wrongKey}},
	}
}

// TestKeyOpenRoutesPassNoWorkspace calls an open route without a key and with wrong ones, in a domain with the service and
// in one that passes the request on, and looks at what the service got.
func TestKeyOpenRoutesPassNoWorkspace(t *testing.T) {
	s := newSystem(t, twoDomains())
	s.serveOnly(t, "a")
	for _, m := range s.members {
		for i, header := range openRequests() {
			path := fmt.Sprintf("/services/%s/open/hall-%d", testService, i)
			if _, keyed := header["X-Trace"]; keyed || strings.HasPrefix(strings.ToLower(header.Get("Authorization")), "bearer") {
				path += "?page=2&k=" + wrongKey
			}
			if res := newCaller("").call(http.MethodGet, m.address, path, "", header); res.status != http.StatusOK {
				t.Errorf("%s %v: %d %s", m.name, header, res.status, res.body)
			}
		}
		header := http.Header{"Authorization": {"Bearer " + wrongKey}}
		res := newCaller("").call(http.MethodGet, m.address, "/services/"+testService+"/open/"+wrongKey, "", header)
		if res.status != http.StatusBadRequest || res.outcome != "NotRun" {
			t.Errorf("%s: a path with the key: %d %s", m.name, res.status, res.body)
		}
	}
	var received []wire.ServiceReceived
	for _, e := range s.services {
		received = append(received, get[wire.ServiceReceivedList](e.address, "/received").Requests...)
	}
	for _, r := range received {
		if r.Workspace != "" || strings.Contains(strings.ToLower(fmt.Sprint(r)), wrongKey) {
			t.Errorf("an open request was passed on as %+v", r)
		}
	}
	if want := len(s.members) * len(openRequests()); len(received) != want {
		t.Errorf("%d open requests ran, not %d", len(received), want)
	}
}

// TestKeysAndPromptsStayOutOfLogs uses keys and prompts in every way that succeeds or fails and reads all logs.
func TestKeysAndPromptsStayOutOfLogs(t *testing.T) {
	s := newSystem(t, twoDomains())
	s.serveOnly(t, "a")
	out, code := s.operate(s.members[0], "key", "issue", "--workspace", testWorkspace, "--label", "kiosk", "--why", "kiosk")
	if code != 0 {
		t.Fatalf("issue: exit code %d\n%s", code, out)
	}
	issued, _, _ := strings.Cut(out[strings.Index(out, "csh_"):], "\n")
	for _, m := range s.members {
		for _, key := range []string{testKey, otherKey, wrongKey, issued} {
			s.useEverywhere(m, key)
		}
	}
	s.post(s.engines[0].address, "/fault", wire.EngineFault{CrashAfterTokens: 3, Once: true})
	s.post(s.engines[1].address, "/fault", wire.EngineFault{WrongAttempt: true, Once: true})
	for _, m := range s.members {
		newCaller(testKey).stream(m.address, markerPrompt, 20, nil)
	}
	s.eachService(wire.ServiceFault{CloseAfterRun: true})
	s.useEverywhere(s.members[0], testKey)
	s.useEverywhere(s.members[3], testKey)
	if out, code := s.operate(s.members[1], "key", "withdraw", "--workspace", testWorkspace, "--label", "kiosk", "--why", "done"); code != 0 {
		t.Errorf("withdraw: exit code %d\n%s", code, out)
	}
	s.useEverywhere(s.members[2], issued)
	s.searchLogs(t, testKey, otherKey, wrongKey, issued, operatorToken, peerSecret, markerPrompt)
}

// useEverywhere puts a key and the marker into every place of requests to one entry.
func (s *system) useEverywhere(m *member, key string) {
	c := newCaller(key)
	header := http.Header{"Content-Type": {"application/json"}, "Cookie": {"k=" + key}, "Idempotency-Key": {key}, "X-Trace": {key}}
	service := "/services/" + testService
	calls := []struct{ method, path, body string }{
		{http.MethodPost, "/v1/chat/completions?k=" + key, chatBody(markerPrompt, 2, false)},
		{http.MethodPost, "/v1/chat/completions", chatBody(markerPrompt+" "+key, 2, false)},
		{http.MethodPost, "/v1/chat/completions", "{" + markerPrompt},
		{http.MethodPost, "/v1/completions", `{"model":"` + testModel + `","prompt":"` + markerPrompt + `","max_tokens":"` + markerPrompt + `"}`},
		{http.MethodPost, "/v1/completions", `{"model":"absent","prompt":"` + markerPrompt + `"}`},
		{http.MethodGet, "/v1/models?k=" + key, ""},
		{http.MethodGet, service + "/bookings/" + key, ""},
		{http.MethodPost, service + "/bookings?k=" + key, `{"Booking":"` + markerPrompt + `"}`},
		{http.MethodPost, service + "/bookings", markerPrompt},
		{http.MethodGet, service + "/open/" + key, ""},
		{http.MethodGet, "/services/" + key + "/open", ""},
		{http.MethodGet, "/services/x/%2e%2e/" + key, ""},
		{http.MethodGet, "/nowhere/" + key, ""},
	}
	for _, call := range calls {
		c.call(call.method, m.address, call.path, call.body, header)
	}
}

// searchLogs demands that no log of any process holds a text, in any case.
func (s *system) searchLogs(t *testing.T, texts ...string) {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(s.dir, "*.log"))
	if err != nil || len(paths) < len(s.members) {
		t.Fatalf("%d logs, %v", len(paths), err)
	}
	size := 0
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		size += len(data)
		for line := range strings.Lines(string(data)) {
			for _, text := range texts {
				if strings.Contains(strings.ToLower(line), strings.ToLower(text)) {
					t.Errorf("%s holds %q: %s", filepath.Base(path), text, line)
				}
			}
		}
	}
	t.Logf("%d logs of %d bytes searched for %d texts", len(paths), size, len(texts))
}

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

// openRouteHeaders returns headers for calls to an open route, without a key and with a wrong key in various places.
func openRouteHeaders() []http.Header {
	return []http.Header{
		{},
		{"Authorization": {"Bearer " + wrongKey}},
		{"Authorization": {"bearer " + wrongKey}, "Cookie": {"k=" + wrongKey + "; theme=dark"}},
		{"X-Api-Key": {wrongKey}, "X-Trace": {"of " + wrongKey}},
		{"Authorization": {"Bearer " + wrongKey}, "Workspace": {otherWorkspace}, "X-Other": {strings.ToUpper(wrongKey)}},
		{"Authorization": {"Basic " + wrongKey}, "Api-Key": {wrongKey}},
	}
}

// TestKeyOpenRoutesPassNoWorkspace calls an open route without a key and with wrong ones, in a domain with the service and
// in one that forwards requests. The service must receive neither a workspace nor the key.
func TestKeyOpenRoutesPassNoWorkspace(t *testing.T) {
	s := newSystem(t, twoDomainPlan())
	s.serveFromDomain(t, "a")
	for _, m := range s.instances {
		for i, header := range openRouteHeaders() {
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
			t.Errorf("an open request reached the service as %+v", r)
		}
	}
	if want := len(s.instances) * len(openRouteHeaders()); len(received) != want {
		t.Errorf("%d open requests ran, not %d", len(received), want)
	}
}

// TestKeysAndPromptsStayOutOfLogs sends keys and prompts in requests that succeed and fail, and searches all logs for them.
func TestKeysAndPromptsStayOutOfLogs(t *testing.T) {
	s := newSystem(t, twoDomainPlan())
	s.serveFromDomain(t, "a")
	out, code := s.operate(s.instances[0], "key", "issue", "--workspace", testWorkspace, "--label", "kiosk", "--why", "kiosk")
	if code != 0 {
		t.Fatalf("issue: exit code %d\n%s", code, out)
	}
	issued, _, _ := strings.Cut(out[strings.Index(out, "csh_"):], "\n")
	for _, m := range s.instances {
		for _, key := range []string{testKey, otherKey, wrongKey, issued} {
			s.sendKeyEverywhere(m, key)
		}
	}
	s.post(s.engines[0].address, "/fault", wire.EngineFault{CrashAfterTokens: 3, Once: true})
	s.post(s.engines[1].address, "/fault", wire.EngineFault{WrongAttempt: true, Once: true})
	for _, m := range s.instances {
		newCaller(testKey).stream(m.address, markerPrompt, 20, nil)
	}
	s.setServiceFaults(wire.ServiceFault{CloseAfterRun: true})
	s.sendKeyEverywhere(s.instances[0], testKey)
	s.sendKeyEverywhere(s.instances[3], testKey)
	if out, code := s.operate(s.instances[1], "key", "withdraw", "--workspace", testWorkspace, "--label", "kiosk", "--why", "done"); code != 0 {
		t.Errorf("withdraw: exit code %d\n%s", code, out)
	}
	s.sendKeyEverywhere(s.instances[2], issued)
	s.checkLogsOmit(t, testKey, otherKey, wrongKey, issued, operatorToken, peerSecret, markerPrompt)
}

// sendKeyEverywhere sends requests to one entry that carry a key and the marker prompt in every part of a request.
func (s *system) sendKeyEverywhere(m *instance, key string) {
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

// checkLogsOmit checks that no process's log contains any of the texts, ignoring case.
func (s *system) checkLogsOmit(t *testing.T, texts ...string) {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(s.dir, "*.log"))
	if err != nil || len(paths) < len(s.instances) {
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
					t.Errorf("%s contains %q: %s", filepath.Base(path), text, line)
				}
			}
		}
	}
	t.Logf("%d logs of %d bytes searched for %d texts", len(paths), size, len(texts))
}

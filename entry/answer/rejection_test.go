package answer_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cowslipshunt.example/shared/caller"
	"cowslipshunt.example/shared/problem"
)

// TestRejectionOfOtherRequestProvesNothing guards against telling a caller that its request has not run because an engine has written the
// rejection of another request, or of another attempt, on a kept connection.
func TestRejectionOfOtherRequestProvesNothing(t *testing.T) {
	for _, test := range []struct {
		name          string
		status        int
		echo, attempt bool
		want          problem.Outcome
	}{
		{"own rejection", http.StatusServiceUnavailable, true, true, problem.NotRun},
		{"rejection of another request", http.StatusServiceUnavailable, false, true, problem.Unknown},
		{"rejection of another attempt", http.StatusServiceUnavailable, true, false, problem.Unknown},
		{"own refusal", http.StatusBadRequest, true, true, problem.NotRun},
		{"refusal of another request", http.StatusBadRequest, false, true, problem.Unknown},
		{"own missing model", http.StatusNotFound, true, true, problem.NotRun},
		{"missing model of another request", http.StatusNotFound, false, true, problem.Unknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if test.echo {
					w.Header().Set(caller.HeaderRequest, r.Header.Get(caller.HeaderRequest))
				}
				if test.attempt {
					w.Header().Set(caller.HeaderAttempt, r.Header.Get(caller.HeaderAttempt))
				}
				w.Header().Set(problem.HeaderOutcome, string(problem.NotRun))
				w.WriteHeader(test.status)
			}))
			defer engine.Close()
			address := benchEntry(t, strings.TrimPrefix(engine.URL, "http://"))
			r, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(`{"model":"model","stream":true,"messages":[{"role":"user","content":"a b"}]}`))
			if err != nil {
				t.Fatal(err)
			}
			r.Header.Set("Authorization", "Bearer "+benchKey)
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if got := resp.Header.Get(problem.HeaderOutcome); got != string(test.want) || err != nil {
				t.Errorf("status %d with outcome %q, want %q: %s, %v", resp.StatusCode, got, test.want, body, err)
			}
		})
	}
}

// TestRefusalAfterLostAttemptIsUnknown guards against telling a caller that its request has not run because an engine has refused it, where
// an engine that was asked before may have run it.
func TestRefusalAfterLostAttemptIsUnknown(t *testing.T) {
	for name, test := range map[string]struct {
		first func(c *engineCall)
		want  problem.Outcome
	}{
		"first broke":    {func(*engineCall) { panic(http.ErrAbortHandler) }, problem.Unknown},
		"first rejected": {(*engineCall).reject, problem.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, 2, 4, time.Second, func(c *engineCall) {
				if c.attempt == "1" {
					test.first(c)
					return
				}
				c.head(http.StatusBadRequest)
			})
			resp, err := s.send(t)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if got := resp.Header.Get(problem.HeaderOutcome); resp.StatusCode != http.StatusBadRequest || got != string(test.want) {
				t.Errorf("status %d with outcome %q, want %q", resp.StatusCode, got, test.want)
			}
		})
	}
}

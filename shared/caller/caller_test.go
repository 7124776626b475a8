package caller_test

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cowslipshunt.example/shared/caller"
	"pgregory.net/rapid"
)

func TestForwardableHeaderRemovesEveryFormOfKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.StringMatching(`[A-Za-z0-9_+/=-]{12,20}`).Draw(t, "key")
		forms := []string{key, "Bearer " + key, "x" + key + "y", url.QueryEscape(key), strings.ToUpper(key)}
		in := http.Header{}
		for range rapid.IntRange(1, 6).Draw(t, "fields") {
			name := rapid.SampledFrom([]string{"Authorization", "X-Api-Key", "X-Other", "Cookie", "Workspace", "Attempt"}).Draw(t, "name")
			in.Add(name, rapid.SampledFrom(append(forms, "harmless", "a=b; s="+key)).Draw(t, "value"))
		}
		out := caller.ForwardableHeader(in, key)
		for name, values := range out {
			for _, value := range values {
				plain, _ := url.QueryUnescape(value)
				for _, text := range []string{value, plain} {
					if strings.Contains(strings.ToLower(text), strings.ToLower(key)) {
						t.Fatalf("%s still contains the key: %q", name, value)
					}
				}
			}
		}
		if out.Get("Workspace") != "" || out.Get("Attempt") != "" {
			t.Fatalf("a reserved header from the caller was kept: %v", out)
		}
		query := caller.QueryWithoutKey("a=1&k="+url.QueryEscape(key)+"&b=2", key)
		if query != "a=1&b=2" {
			t.Fatalf("query %q", query)
		}
	})
}

func TestKeySchemeIsCaseInsensitive(t *testing.T) {
	for _, scheme := range []string{"Bearer", "bearer", "BEARER"} {
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.Header.Set("Authorization", scheme+" csh_key")
		if got := caller.Key(r); got != "csh_key" {
			t.Errorf("%s: got %q", scheme, got)
		}
	}
}

// TestNonReplayableBodyIsNeverReplayed guards against net/http sending a request twice. It does so when the server closes a reused
// connection without an answer, as the service of this test does for its second request.
func TestNonReplayableBodyIsNeverReplayed(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete} {
		for _, body := range []string{"", "booking"} {
			t.Run(method+" "+body, func(t *testing.T) {
				runs := countRunsOnReusedConnection(t, method, body)
				if runs != 2 {
					t.Errorf("two requests ran %d times", runs)
				}
			})
		}
	}
}

// countRunsOnReusedConnection sends two requests on one connection and returns how many the service received.
func countRunsOnReusedConnection(t *testing.T, method, body string) int64 {
	var runs atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if runs.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusOK)
	}))
	defer server.Close()
	transport := caller.NewTransport(time.Minute)
	defer transport.CloseIdleConnections()
	for range 2 {
		r, err := http.NewRequestWithContext(t.Context(), method, server.URL, nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Idempotency-Key", "k")
		caller.SetNonReplayableBody(r, []byte(body))
		if answer, err := transport.RoundTrip(r); err == nil {
			answer.Body.Close()
		}
	}
	return runs.Load()
}

package console_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cowslipshunt.example/shared/console"
	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/shared/process"
	"cowslipshunt.example/wire"
)

// newTestClient returns a client of a test entry that answers every request alike, and the list of requests that it received.
func newTestClient(t *testing.T, status int, body string) (*console.Client, *[]string) {
	t.Helper()
	var got []string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = append(got, r.Method+" "+r.URL.String()+" "+r.Header.Get("Authorization"))
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	}))
	t.Cleanup(srv.Close)
	return console.NewClient(strings.TrimPrefix(srv.URL, "http://"), "secret", console.WithTimeout(5*time.Second)), &got
}

func TestSubmitDistinguishesErrors(t *testing.T) {
	tests := []struct {
		status         int
		body, want     string
		code           int
		outcomeUnknown bool
	}{
		{409, `{"CurrentVersion":8,"Difference":["model a: removed"]}`,
			"conflict: version 8 is in force; since the base version:\n  model a: removed", process.ExitConflict, false},
		{422, `{"Findings":[{"File":"f","Line":3,"Column":1,"Field":"Model[0].Name","Text":"is missing"}]}`,
			"f:3:1: Model[0].Name: is missing", process.ExitInput, false},
		{401, `{"title":"unknown token","detail":"ask for one"}`,
			"entry refused: status 401: unknown token: ask for one", process.ExitFailure, false},
		{409, `gone wrong`, "entry refused: status 409: Conflict", process.ExitFailure, false},
		{302, ``, "entry refused: status 302: Found", process.ExitFailure, false},
		{503, `{"title":"no platform"}`, "the submission may have taken effect, see the document's history: " +
			"entry refused: status 503: no platform", process.ExitFailure, true},
	}
	for _, test := range tests {
		client, got := newTestClient(t, test.status, test.body)
		_, err := client.Submit(context.Background(), wire.SubmitRequest{})
		var outcomeUnknown *console.OutcomeUnknownError
		if err == nil || err.Error() != test.want || process.ExitCode(err) != test.code || errors.As(err, &outcomeUnknown) != test.outcomeUnknown {
			t.Errorf("status %d: got %v, exit code %d", test.status, err, process.ExitCode(err))
		}
		if want := []string{"POST /v1/document Bearer secret"}; len(*got) != 1 || (*got)[0] != want[0] {
			t.Errorf("requests %v, want %v", *got, want)
		}
	}
}

func TestSubmitOutcomeIsUnknownOnlyAfterSending(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	client := console.NewClient(strings.TrimPrefix(srv.URL, "http://"), "secret")
	var outcomeUnknown *console.OutcomeUnknownError
	if _, err := client.Submit(context.Background(), wire.SubmitRequest{}); !errors.As(err, &outcomeUnknown) {
		t.Errorf("connection closed before the answer: got %v, want an OutcomeUnknownError", err)
	}
	srv.Close()
	if _, err := client.Submit(context.Background(), wire.SubmitRequest{}); err == nil || errors.As(err, &outcomeUnknown) {
		t.Errorf("no listener: got %v, want an error other than OutcomeUnknownError", err)
	}
}

func TestDocumentChecksTheDigest(t *testing.T) {
	body := `{"Version":7,"Text":"","Digest":%q,"At":"2026-01-02T03:04:05Z","Who":"","Why":""}`
	client, got := newTestClient(t, 200, fmt.Sprintf(body, document.Digest(nil)))
	if answer, err := client.Document(context.Background(), 7); err != nil || answer.Version != 7 {
		t.Errorf("got %v, %v", answer, err)
	}
	if (*got)[0] != "GET /v1/document?version=7 Bearer secret" {
		t.Errorf("requests %v", *got)
	}
	client, _ = newTestClient(t, 200, fmt.Sprintf(body, document.Digest([]byte("other"))))
	if _, err := client.Document(context.Background(), 0); err == nil {
		t.Error("a document that does not match its digest was accepted")
	}
}

func TestAuditSendsQueryParameters(t *testing.T) {
	client, got := newTestClient(t, 200, `{"Entries":[]}`)
	at := time.Date(2026, 1, 2, 3, 4, 5, 6, time.FixedZone("", 36000))
	if _, err := client.Audit(context.Background(), at, 5); err != nil {
		t.Fatal(err)
	}
	if (*got)[0] != "GET /v1/audit?after=2026-01-01T17%3A04%3A05.000000006Z&limit=5 Bearer secret" {
		t.Errorf("requests %v", *got)
	}
}

func TestRedirectIsNotFollowed(t *testing.T) {
	other := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		t.Errorf("the redirect was followed, with authorization %q", r.Header.Get("Authorization"))
	}))
	t.Cleanup(other.Close)
	srv := httptest.NewServer(http.RedirectHandler(other.URL, http.StatusTemporaryRedirect))
	t.Cleanup(srv.Close)
	_, err := console.NewClient(strings.TrimPrefix(srv.URL, "http://"), "secret").Status(context.Background())
	var problem *console.ProblemError
	if !errors.As(err, &problem) || problem.Status != http.StatusTemporaryRedirect {
		t.Errorf("got %v", err)
	}
}

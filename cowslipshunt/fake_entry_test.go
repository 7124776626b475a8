package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/wire"
	"github.com/go-chi/chi/v5"
)

const testToken = "test-token"

var testTime = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// fakeEntry serves the operators' interface of an entry from memory.
type fakeEntry struct {
	address string
	mu      sync.Mutex
	version wire.DocumentVersion
	text    string
	// conflicts is how many further submissions fail because another version came into force first.
	conflicts int
	submits   int
}

func newFakeEntry(t *testing.T) *fakeEntry {
	t.Helper()
	text, err := os.ReadFile("../examples/document.toml")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeEntry{version: 7, text: string(text)}
	router := chi.NewRouter()
	router.Use(authenticate)
	router.Get("/v1/document", f.serveDocument)
	router.Post("/v1/document", f.serveSubmit)
	for path, answer := range cannedAnswers() {
		router.Get(path, func(w http.ResponseWriter, _ *http.Request) { answerJSON(w, http.StatusOK, answer) })
	}
	srv := httptest.NewServer(router)
	t.Cleanup(srv.Close)
	f.address = strings.TrimPrefix(srv.URL, "http://")
	return f
}

func authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer "+testToken {
			answerJSON(w, http.StatusUnauthorized, map[string]string{"title": "unknown token"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func answerJSON(w http.ResponseWriter, status int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

func (f *fakeEntry) serveDocument(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	answerJSON(w, http.StatusOK, wire.DocumentAnswer{Version: f.version, Text: f.text,
		Digest: document.Digest([]byte(f.text)), At: testTime, Who: "kim", Why: "first\x1b[31m"})
}

func (f *fakeEntry) serveSubmit(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.submits++
	var submit wire.SubmitRequest
	_ = json.NewDecoder(r.Body).Decode(&submit)
	if f.conflicts > 0 {
		f.conflicts--
		f.version++
	}
	if submit.BaseVersion != f.version {
		answerJSON(w, http.StatusConflict, wire.SubmitConflict{CurrentVersion: f.version,
			Difference: []string{"fleet qld-a: drafting Count 2 -> 3"}})
		return
	}
	f.version, f.text = f.version+1, submit.Text
	answerJSON(w, http.StatusOK, wire.SubmitAnswer{Version: f.version, Digest: document.Digest([]byte(f.text)),
		Confirmed: []wire.DomainName{"qld-a"}, Unconfirmed: []wire.DomainName{"qld-b"}})
}

func cannedAnswers() map[string]any {
	audit := wire.AuditList{Entries: []wire.AuditRow{
		{At: testTime, DocumentVersion: 7, Subject: "document", What: "submit", Who: "kim", Why: "more\nbookings"}}}
	return map[string]any{
		"/v1/document/history": audit,
		"/v1/audit":            audit,
		"/v1/status": wire.StatusAnswer{Instance: "qld-a-1", Domain: "qld-a", DocumentVersion: 7,
			Instances: []wire.InstanceStatus{{Instance: "qld-a-1", Program: wire.ProgramEntry, Domain: "qld-a", DocumentVersion: 7, Connected: true}},
			Endpoints: []wire.EndpointState{{Endpoint: "e-1", Domain: "qld-a", Address: "127.0.0.1:9000", Kind: "drafting",
				Model: "itinerary", ModelVersion: "v1", Role: wire.EngineRoleMixed, Phase: wire.EndpointPhaseReady}},
			Leases: []wire.LeaseRow{{Lease: "domain/qld-a", Holder: "qld-a-1", Epoch: 3}}},
		"/v1/orders": wire.OrderList{Orders: []wire.OrderRow{{At: testTime, Order: "o-1", Domain: "qld-a", Endpoint: "e-1",
			Action: wire.EngineActionLoadModel, Model: "itinerary", ModelVersion: "v1", State: wire.OrderStateDone, Holder: "qld-a-1", Epoch: 3}}},
		"/v1/usage": wire.WindowList{Windows: []wire.WindowRow{{Window: 1, From: testTime, To: testTime.Add(time.Hour), Reported: true,
			Figures: []wire.UsageFigure{{Workspace: "bluegum-venues", Model: "itinerary", Requests: 2, PromptTokens: 30, OutputTokens: 40, Cost: 1234567}}}}},
	}
}

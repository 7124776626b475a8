package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

// patience bounds how long a test waits for a condition.
const patience = 10 * time.Second

// bench is an engine under test behind a listener.
type bench struct {
	*engine
	srv *httptest.Server
}

func start(t *testing.T, cfg settings, opts ...option) *bench {
	t.Helper()
	e := newEngine(cfg, opts...)
	srv := httptest.NewServer(e.router())
	t.Cleanup(func() {
		e.close()
		srv.Close()
	})
	return &bench{engine: e, srv: srv}
}

func loaded() settings {
	cfg := defaultSettings()
	cfg.Endpoint, cfg.Model, cfg.ModelVersion = "e1", "m", "1"
	return cfg
}

// reply is what came of a streamed completion.
type reply struct {
	status int
	header http.Header
	ids    []string
	tokens []string
	usage  *usage
	done   bool
	err    error
}

// add takes a line of a stream.
func (p *reply) add(line string) {
	if id, ok := strings.CutPrefix(line, "id: "); ok {
		p.ids = append(p.ids, id)
	}
	data, ok := strings.CutPrefix(line, "data: ")
	p.done = p.done || data == "[DONE]"
	if !ok || p.done {
		return
	}
	var c completion
	p.err = errors.Join(p.err, json.Unmarshal([]byte(data), &c))
	p.usage = c.Usage
	if len(c.Choices) == 1 && c.Choices[0].FinishReason == nil {
		p.tokens = append(p.tokens, c.Choices[0].Delta.Content)
	}
}

// send posts a JSON body, and returns the answer unread.
func (b *bench) send(ctx context.Context, path, request string, body any) (*http.Response, error) {
	data, _ := json.Marshal(body)
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, b.srv.URL+path, bytes.NewReader(data))
	r.Header.Set("Request-Id", request)
	r.Header.Set("Attempt", "2")
	r.Header.Set("Workspace", "w")
	return b.srv.Client().Do(r)
}

func (b *bench) stream(request string, body map[string]any) *reply {
	body["stream"] = true
	answer, err := b.send(context.Background(), "/v1/chat/completions", request, body)
	if err != nil {
		return &reply{err: err}
	}
	defer answer.Body.Close()
	p := &reply{status: answer.StatusCode, header: answer.Header}
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		p.add(lines.Text())
	}
	p.err = errors.Join(p.err, lines.Err())
	return p
}

func chat(prompt string, maxTokens int) map[string]any {
	return map[string]any{"model": "m", "messages": []map[string]any{{"role": "user", "content": prompt}}, "max_tokens": maxTokens}
}

// post sends a control call that has to be taken.
func (b *bench) post(t *testing.T, path string, in any) {
	t.Helper()
	answer, err := b.send(t.Context(), path, "", in)
	if err != nil || answer.StatusCode != http.StatusOK {
		t.Fatal(path, answer, err)
	}
	_ = answer.Body.Close()
}

// advance moves a clock that something waits on.
func advance(t *testing.T, clock *clockwork.FakeClock, d time.Duration) {
	t.Helper()
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	clock.Advance(d)
}

// one returns the first request received, as a judging test sees it.
func (b *bench) one(t *testing.T) wire.EngineReceived {
	t.Helper()
	answer, err := b.srv.Client().Get(b.srv.URL + "/received")
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	var list wire.EngineReceivedList
	if err := json.NewDecoder(answer.Body).Decode(&list); err != nil || len(list.Requests) == 0 {
		t.Fatal(list, err)
	}
	return list.Requests[0]
}

// eventually asks for a condition until it holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); !holds(); {
		if time.Now().After(deadline) {
			t.Fatalf("never saw: %s", what)
		}
	}
}

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

// conditionTimeout bounds how long a test waits for a condition.
const conditionTimeout = 10 * time.Second

// testEngine is an engine that serves on a test server.
type testEngine struct {
	*engine
	srv *httptest.Server
}

func startEngine(t *testing.T, cfg settings, opts ...option) *testEngine {
	t.Helper()
	e := newEngine(cfg, opts...)
	srv := httptest.NewServer(e.router())
	t.Cleanup(func() {
		e.close()
		srv.Close()
	})
	return &testEngine{engine: e, srv: srv}
}

func loadedSettings() settings {
	cfg := defaultSettings()
	cfg.Endpoint, cfg.Model, cfg.ModelVersion = "e1", "m", "1"
	return cfg
}

// reply is the result of a streamed completion: what arrived of the stream and the error that ended it.
type reply struct {
	status int
	header http.Header
	ids    []string
	tokens []string
	usage  *usage
	done   bool
	err    error
}

// addLine parses one line of the event stream.
func (res *reply) addLine(line string) {
	if id, ok := strings.CutPrefix(line, "id: "); ok {
		res.ids = append(res.ids, id)
	}
	data, ok := strings.CutPrefix(line, "data: ")
	res.done = res.done || data == "[DONE]"
	if !ok || res.done {
		return
	}
	var c completion
	res.err = errors.Join(res.err, json.Unmarshal([]byte(data), &c))
	res.usage = c.Usage
	if len(c.Choices) == 1 && c.Choices[0].FinishReason == nil {
		res.tokens = append(res.tokens, c.Choices[0].Delta.Content)
	}
}

// send posts a JSON body and returns the response, whose body the caller reads and closes.
func (e *testEngine) send(ctx context.Context, path, request string, body any) (*http.Response, error) {
	data, _ := json.Marshal(body)
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, e.srv.URL+path, bytes.NewReader(data))
	r.Header.Set("Request-Id", request)
	r.Header.Set("Attempt", "2")
	r.Header.Set("Workspace", "w")
	return e.srv.Client().Do(r)
}

func (e *testEngine) stream(request string, body map[string]any) *reply {
	body["stream"] = true
	answer, err := e.send(context.Background(), "/v1/chat/completions", request, body)
	if err != nil {
		return &reply{err: err}
	}
	defer answer.Body.Close()
	res := &reply{status: answer.StatusCode, header: answer.Header}
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		res.addLine(lines.Text())
	}
	res.err = errors.Join(res.err, lines.Err())
	return res
}

func chat(prompt string, maxTokens int) map[string]any {
	return map[string]any{"model": "m", "messages": []map[string]any{{"role": "user", "content": prompt}}, "max_tokens": maxTokens}
}

// postControl sends a control call and fails the test unless the status is 200.
func (e *testEngine) postControl(t *testing.T, path string, in any) {
	t.Helper()
	answer, err := e.send(t.Context(), path, "", in)
	if err != nil || answer.StatusCode != http.StatusOK {
		t.Fatal(path, answer, err)
	}
	_ = answer.Body.Close()
}

// advance waits until a timer is set on the clock, then advances the clock.
func advance(t *testing.T, clock *clockwork.FakeClock, d time.Duration) {
	t.Helper()
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	clock.Advance(d)
}

// firstReceived returns the first request in the answer to GET /received.
func (e *testEngine) firstReceived(t *testing.T) wire.EngineReceived {
	t.Helper()
	answer, err := e.srv.Client().Get(e.srv.URL + "/received")
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

// eventually polls a condition until it holds, and fails the test after conditionTimeout.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(conditionTimeout); !holds(); {
		if time.Now().After(deadline) {
			t.Fatalf("condition not reached within %v: %s", conditionTimeout, what)
		}
	}
}

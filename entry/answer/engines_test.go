package answer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"cowslipshunt.example/entry/admission"
	"cowslipshunt.example/entry/answer"
	"cowslipshunt.example/shared/caller"
	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/shared/problem"
	"cowslipshunt.example/shared/process"
	"cowslipshunt.example/shared/queue"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

// Figures of the answers of the engines in this file. Each answer has tokenCount tokens, whose texts are their numbers.
const (
	tokenCount   = 5
	promptTokens = 4
	// stall is the stall limit of the answer server, testTimeout bounds each wait of a test.
	stall       = 50 * time.Millisecond
	testTimeout = 20 * time.Second
)

// system is an answer server with some engines that share a handler.
type system struct {
	server    *answer.Server
	directory *endpoint.Directory
	log       *logBuffer
	bills     *bills
	// wrap may replace the writer of an answer.
	wrap    func(http.ResponseWriter) http.ResponseWriter
	address string
}

// newSystem starts an answer server with n engines, each with room for a number of requests.
func newSystem(t *testing.T, n, room int, queueLimit time.Duration, engine func(*engineCall)) *system {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s := &system{log: &logBuffer{}, bills: &bills{}}
	s.directory = endpoint.NewDirectory(endpoint.WithLimits(func(wire.EndpointKindName) int { return room }))
	var states []wire.EndpointState
	for i := range n {
		e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { engine(newEngineCall(w, r)) }))
		t.Cleanup(e.Close)
		address := strings.TrimPrefix(e.URL, "http://")
		states = append(states, wire.EndpointState{Endpoint: wire.EndpointId(fmt.Sprint("e", i)), Address: address, Model: "model", Phase: wire.EndpointPhaseReady, Role: wire.EngineRoleMixed})
	}
	s.directory.Apply(wire.EndpointStates{Epoch: 1, Endpoints: states})
	clock := clockwork.NewRealClock()
	gate := admission.NewGate(benchDocument(t), benchStubs{}, 4096, process.NewLogger(s.log, "info", "test", "entry"))
	limits := answer.Limits{Queue: queueLimit, Stall: stall, Total: testTimeout}
	s.server = answer.NewServer(gate, s.directory, queue.NewSet(ctx, clock), s.bills, benchStubs{}, clock, limits)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.wrap != nil {
			w = s.wrap(w)
		}
		s.server.ServeChat(w, r)
	}))
	t.Cleanup(server.Close)
	s.address = server.URL
	return s
}

// send sends one request for a stream.
func (s *system) send(t *testing.T) (*http.Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	body := `{"model":"model","stream":true,"messages":[{"role":"user","content":"a prompt"}]}`
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+benchKey)
	return http.DefaultClient.Do(r)
}

// stream sends one request and returns the texts of the answer's tokens, and whether it came whole.
func (s *system) stream(t *testing.T) (tokens []string, whole bool) {
	t.Helper()
	resp, err := s.send(t)
	if err != nil {
		t.Error(err)
		return nil, false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	for line := range strings.Lines(string(data)) {
		var c struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		text, found := strings.CutPrefix(line, "data: {")
		if found && json.Unmarshal([]byte("{"+text), &c) == nil && len(c.Choices) > 0 && c.Choices[0].Delta.Content != "" {
			tokens = append(tokens, c.Choices[0].Delta.Content)
		}
	}
	return tokens, err == nil && strings.HasSuffix(string(data), "data: [DONE]\n\n")
}

// requireWhole sends a request and fails the test unless each token of the answer comes once, the request is billed once, and no slot is
// taken afterwards.
func (s *system) requireWhole(t *testing.T) {
	t.Helper()
	before := len(s.bills.list())
	tokens, whole := s.stream(t)
	if got := strings.Join(tokens, " "); !whole || got != "0 1 2 3 4" {
		t.Errorf("got tokens %q, whole: %v", got, whole)
	}
	bills := s.bills.list()[before:]
	if len(bills) != 1 || bills[0].OutputTokens != tokenCount || bills[0].PromptTokens != promptTokens {
		t.Errorf("billed %+v", bills)
	}
	for _, e := range s.directory.View().Model("model") {
		if n := e.InFlight(); n != 0 {
			t.Errorf("%d slots of %s are taken after the answer", n, e.State().Endpoint)
		}
	}
}

// engineCall is a request to an engine.
type engineCall struct {
	w                http.ResponseWriter
	r                *http.Request
	request, attempt string
	// resumed is how many tokens the caller has already.
	resumed int
}

func newEngineCall(w http.ResponseWriter, r *http.Request) *engineCall {
	var body struct {
		Resumed []string `json:"resume_tokens"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	return &engineCall{w: w, r: r, request: r.Header.Get(caller.HeaderRequest), attempt: r.Header.Get(caller.HeaderAttempt), resumed: len(body.Resumed)}
}

// head sends the head of an answer with a status.
func (c *engineCall) head(status int) {
	c.w.Header().Set(caller.HeaderRequest, c.request)
	c.w.Header().Set(caller.HeaderAttempt, c.attempt)
	c.w.WriteHeader(status)
	_ = http.NewResponseController(c.w).Flush()
}

// tokens sends the tokens with the numbers from first on, below end.
func (c *engineCall) tokens(first, end int) {
	for i := first; i < end; i++ {
		c.event(fmt.Sprint(i), fmt.Sprintf(`{"index":0,"delta":{"content":"%d"},"finish_reason":null}`, i), "")
	}
}

// finish sends the end of the answer.
func (c *engineCall) finish() {
	c.event("end", `{"index":0,"delta":{},"finish_reason":"stop"}`, "")
	c.event("usage", "", fmt.Sprintf(`,"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}`, promptTokens, tokenCount, promptTokens+tokenCount))
	fmt.Fprint(c.w, "data: [DONE]\n\n")
}

func (c *engineCall) event(id, choices, rest string) {
	fmt.Fprintf(c.w, "id: %s/%s/%s\ndata: {\"object\":\"chat.completion.chunk\",\"choices\":[%s]%s}\n\n", c.request, c.attempt, id, choices, rest)
	_ = http.NewResponseController(c.w).Flush()
}

// answer sends a whole answer, or what is missing of it.
func (c *engineCall) answer() {
	c.head(http.StatusOK)
	c.tokens(c.resumed, tokenCount)
	c.finish()
}

// await waits for a channel to be closed and reports whether the entry was still there.
func (c *engineCall) await(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	case <-c.r.Context().Done():
		return false
	}
}

// reject answers that nothing ran.
func (c *engineCall) reject() {
	c.w.Header().Set(problem.HeaderOutcome, string(problem.NotRun))
	c.head(http.StatusServiceUnavailable)
}

// bills records the usage for which workspaces are billed.
type bills struct {
	mu      sync.Mutex
	figures []wire.UsageFigure
}

func (b *bills) Record(_ context.Context, f wire.UsageFigure) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.figures = append(b.figures, f)
}

func (b *bills) list() []wire.UsageFigure {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.figures
}

// logBuffer holds the lines of a log. onLine, if set, is called with each.
type logBuffer struct {
	mu     sync.Mutex
	text   strings.Builder
	onLine func(line string)
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.onLine != nil {
		b.onLine(string(p))
	}
	return b.text.Write(p)
}

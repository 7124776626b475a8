package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestResumedAnswerEqualsFullAnswer resumes an answer after each of its tokens at another engine, with the tokens so far in
// resume_tokens. Tokens, event ids and usage must be the same as those of an uninterrupted answer.
func TestResumedAnswerEqualsFullAnswer(t *testing.T) {
	uninterrupted, resumed := startEngine(t, loadedSettings()), startEngine(t, loadedSettings())
	rapid.Check(t, func(rt *rapid.T) {
		prompt := rapid.StringMatching(`[a-z ]{0,30}`).Draw(rt, "prompt")
		limit := rapid.IntRange(1, 12).Draw(rt, "limit")
		full := uninterrupted.stream("r", chat(prompt, limit)).tokens
		if distinct := slices.Compact(slices.Sorted(slices.Values(full))); len(distinct) != limit {
			rt.Fatalf("tokens %q, want %d distinct ones", full, limit)
		}
		var ids []string
		for n := range limit {
			ids = append(ids, fmt.Sprintf("r/2/%d", n))
		}
		ids = append(ids, "r/2/end", "r/2/usage")
		for cut := range limit + 1 {
			body := chat(prompt, limit)
			body["resume_tokens"] = full[:cut]
			body["stream_options"] = map[string]any{"include_usage": true}
			res := resumed.stream("r", body)
			if got := append(slices.Clone(full[:cut]), res.tokens...); !slices.Equal(got, full) {
				rt.Fatalf("cut at %d: got %q, want %q", cut, got, full)
			}
			if want := ids[cut:]; !slices.Equal(res.ids, want) {
				rt.Fatalf("cut at %d: ids %q, want %q", cut, res.ids, want)
			}
			if u := res.usage; !res.done || u.CompletionTokens != limit || u.PromptTokens != len(strings.Fields(prompt)) {
				rt.Fatalf("cut at %d: done %v, usage %+v", cut, res.done, u)
			}
		}
	})
}

func TestTokensDependOnWholePrompt(t *testing.T) {
	e := startEngine(t, loadedSettings())
	answerTo := func(contents ...any) string {
		var messages []map[string]any
		for _, c := range contents {
			messages = append(messages, map[string]any{"role": "user", "content": c})
		}
		res := e.stream("r", map[string]any{"model": "m", "messages": messages})
		return strings.Join(res.tokens, "")
	}
	parts := []map[string]any{{"type": "text", "text": "a"}, {"type": "text", "text": "b"}}
	if answerTo("a", "b") != answerTo(parts) {
		t.Error("parts and messages with the same text differ")
	}
	if answerTo("a", "b") == answerTo("c", "b") || answerTo("a", "b") == answerTo("a", "c") {
		t.Error("a change of one message does not change the tokens")
	}
	if got := len(strings.Fields(answerTo("a"))); got != defaultMaxTokens {
		t.Errorf("%d tokens without max_tokens, want %d", got, defaultMaxTokens)
	}
}

func TestNonStreamedAnswersMatchOpenAIFormat(t *testing.T) {
	e := startEngine(t, loadedSettings())
	first, second := newTokenSource("p q").token(0), newTokenSource("p q").token(1)
	tests := []struct{ path, body, want string }{
		{"/v1/chat/completions", `{"model":"m","max_completion_tokens":2,"messages":[{"role":"user","content":"p q"}]}`,
			`{"id":"chatcmpl-r","object":"chat.completion","created":1,"model":"m","choices":[{"index":0,"message":{"role":"assistant","content":"` +
				first + second + `","refusal":null},"logprobs":null,"finish_reason":"length"}],` + wantUsage},
		{"/v1/completions", `{"model":"m","max_tokens":2,"prompt":["p q"]}`,
			`{"id":"cmpl-r","object":"text_completion","created":1,"model":"m","choices":[{"index":0,"text":"` +
				first + second + `","logprobs":null,"finish_reason":"length"}],` + wantUsage},
	}
	for _, test := range tests {
		status, header, got := e.plain(t, test.path, test.body)
		if status != http.StatusOK || header.Get("Request-Id") != "r" || header.Get("Attempt") != "2" {
			t.Errorf("%s: status %d, header %v", test.path, status, header)
		}
		got.Created = min(got.Created, 1)
		if text, _ := json.Marshal(got); string(text) != test.want {
			t.Errorf("%s: got\n%s\nwant\n%s", test.path, text, test.want)
		}
	}
}

const wantUsage = `"usage":{"prompt_tokens":2,"completion_tokens":2,"total_tokens":4,"prompt_tokens_details":{"cached_tokens":0}}}`

func (e *testEngine) plain(t *testing.T, path, body string) (int, http.Header, completion) {
	t.Helper()
	answer, err := e.send(t.Context(), path, "r", json.RawMessage(body))
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	var c completion
	if err := json.NewDecoder(answer.Body).Decode(&c); err != nil {
		t.Fatal(err)
	}
	return answer.StatusCode, answer.Header, c
}

func TestBadRequestsRunNothing(t *testing.T) {
	e := startEngine(t, loadedSettings())
	tests := map[string]int{
		`{"model":"other","prompt":"a"}`:            http.StatusNotFound,
		`{"model":"m"}`:                             http.StatusBadRequest,
		`{"model":"m","prompt":["a","b"]}`:          http.StatusBadRequest,
		`{"model":"m","prompt":"a","max_tokens":0}`: http.StatusBadRequest,
		`{"model":"m","prompt":"a","n":2}`:          http.StatusBadRequest,
		`[]`:                                        http.StatusBadRequest,
	}
	for body, want := range tests {
		if status, header, _ := e.plain(t, "/v1/completions", body); status != want || header.Get("Outcome") != "" || header.Get("Request-Id") != "r" || header.Get("Attempt") != "2" {
			t.Errorf("%s: status %d, want %d; header %v", body, status, want, header)
		}
	}
	if n := len(e.received().Requests); n != 0 {
		t.Errorf("%d requests ran", n)
	}
}

// TestCachedPrefixSkipsPrefill fills a cache of 3 blocks of 2 tokens and checks how many tokens each request has to prefill.
func TestCachedPrefixSkipsPrefill(t *testing.T) {
	cfg := loadedSettings()
	cfg.PieceTokens, cfg.Pieces = 2, 3
	e := startEngine(t, cfg)
	prompts := []string{"a b c d e", "a b c d e", "a b x y", "q r s t u v", "a b", "q r s t u v"}
	want := []uint64{5, 1, 2, 6, 2, 2}
	for i, prompt := range prompts {
		before := e.counters.prefillTokens.Get()
		e.stream("r", chat(prompt, 1))
		if got := e.counters.prefillTokens.Get() - before; got != want[i] {
			t.Errorf("request %d: %d tokens charged, want %d", i, got, want[i])
		}
	}
}

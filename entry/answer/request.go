// Package answer serves model requests: it sends them to engines and gives callers whole answers, across engines that
// fail in the midst of one.
package answer

import (
	"encoding/json"
	"net/http"

	"cowslipshunt.example/shared/problem"
	"cowslipshunt.example/wire"
)

// refusedMembers ask for answers that cannot be resumed token by token.
var refusedMembers = []string{"tools", "functions", "audio", "modalities", "best_of", "logprobs", "echo", "suffix"}

// Members that this package sets towards the engine.
const (
	memberStream  = "stream"
	memberOptions = "stream_options"
	memberResume  = "resume_tokens"
)

// body holds a request's members as they came, so that an engine gets those that this system does not know.
type body map[string]json.RawMessage

// request is a caller's request as far as this system reads it.
type request struct {
	body   body
	chat   bool
	fields fields
}

type fields struct {
	Model               wire.ModelName  `json:"model"`
	Stream              bool            `json:"stream"`
	StreamOptions       streamOptions   `json:"stream_options"`
	N                   int             `json:"n"`
	MaxTokens           wire.TokenCount `json:"max_tokens"`
	MaxCompletionTokens wire.TokenCount `json:"max_completion_tokens"`
}

type streamOptions struct {
	IncludeUsage    bool `json:"include_usage"`
	ContinuousUsage bool `json:"continuous_usage_stats,omitempty"`
}

// parse reads a request, or returns the refusal.
func parse(data []byte, chat bool) (*request, *problem.Problem) {
	q := &request{chat: chat}
	if err := json.Unmarshal(data, &q.body); err != nil {
		return nil, problem.New(http.StatusBadRequest, problem.NotRun, "the body is no JSON object: %v", err)
	}
	if err := json.Unmarshal(data, &q.fields); err != nil {
		return nil, problem.New(http.StatusBadRequest, problem.NotRun, "the body does not fit: %v", err)
	}
	if q.fields.Model == "" {
		return nil, problem.New(http.StatusBadRequest, problem.NotRun, "model is missing")
	}
	if q.fields.N > 1 {
		return nil, problem.New(http.StatusBadRequest, problem.NotRun, "n: only one answer to a request is served")
	}
	for _, name := range refusedMembers {
		if value, set := q.body[name]; set && !empty(value) {
			return nil, problem.New(http.StatusBadRequest, problem.NotRun, "%s: is not served", name)
		}
	}
	return q, nil
}

func empty(value json.RawMessage) bool {
	switch string(value) {
	case "null", "false", "[]", "0", `""`:
		return true
	}
	return false
}

// maxOutput returns how many tokens the caller asked for at most; zero is the engine's default.
func (q *request) maxOutput() wire.TokenCount {
	if q.fields.MaxCompletionTokens > 0 {
		return q.fields.MaxCompletionTokens
	}
	return q.fields.MaxTokens
}

// limitOutput holds the request to at most n tokens.
func (q *request) limitOutput(n wire.TokenCount) {
	if n <= 0 || (q.maxOutput() > 0 && q.maxOutput() <= n) {
		return
	}
	delete(q.body, "max_completion_tokens")
	q.body["max_tokens"] = mustJSON(n)
	q.fields.MaxTokens, q.fields.MaxCompletionTokens = n, 0
}

// encode writes the request for an engine that goes on behind the delivered tokens.
func (q *request) encode(delivered []string) ([]byte, error) {
	q.body[memberStream] = json.RawMessage("true")
	q.body[memberOptions] = mustJSON(streamOptions{IncludeUsage: true, ContinuousUsage: true})
	if len(delivered) > 0 {
		q.body[memberResume] = mustJSON(delivered)
	} else {
		delete(q.body, memberResume)
	}
	return json.Marshal(q.body)
}

// estimate guesses the prompt's tokens from its size, for the queue only.
func (q *request) estimate() wire.TokenCount {
	size := len(q.body["messages"]) + len(q.body["prompt"])
	return wire.TokenCount(size/bytesPerToken + 1)
}

// bytesPerToken is a common length of a token in text.
const bytesPerToken = 4

func mustJSON(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

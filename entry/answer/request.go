// Package answer serves model requests. It sends them to engines and streams the answers to the callers. If an engine fails in
// the middle of an answer, another engine continues it.
package answer

import (
	"encoding/json"
	"net/http"

	"cowslipshunt.example/shared/problem"
	"cowslipshunt.example/wire"
)

// unsupportedMembers are JSON members that request answers which another engine cannot resume token by token.
var unsupportedMembers = []string{"tools", "functions", "audio", "modalities", "best_of", "logprobs", "echo", "suffix"}

// JSON members that this package sets in requests to engines.
const (
	memberStream  = "stream"
	memberOptions = "stream_options"
	memberResume  = "resume_tokens"
)

// requestBody holds the JSON members of a request unchanged, so that members unknown to this system reach the engine.
type requestBody map[string]json.RawMessage

// modelRequest is the decoded body of a caller's request.
type modelRequest struct {
	body   requestBody
	chat   bool
	fields requestFields
}

// requestFields are the members that this system reads.
type requestFields struct {
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

// parseRequest decodes and checks the body of a request. It returns a refusal if the request cannot be served.
func parseRequest(data []byte, chat bool) (*modelRequest, *problem.Problem) {
	q := &modelRequest{chat: chat}
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
	for _, name := range unsupportedMembers {
		if value, set := q.body[name]; set && !isEmptyJSON(value) {
			return nil, problem.New(http.StatusBadRequest, problem.NotRun, "%s: is not served", name)
		}
	}
	return q, nil
}

// isEmptyJSON reports whether a member has its zero value, so that it requests nothing.
func isEmptyJSON(value json.RawMessage) bool {
	switch string(value) {
	case "null", "false", "[]", "0", `""`:
		return true
	}
	return false
}

// maxOutput returns the limit on output tokens that the caller set. Zero stands for the engine's default.
func (q *modelRequest) maxOutput() wire.TokenCount {
	if q.fields.MaxCompletionTokens > 0 {
		return q.fields.MaxCompletionTokens
	}
	return q.fields.MaxTokens
}

// limitOutput lowers the limit on output tokens to n. It does nothing if n is not positive or the request's limit is lower.
func (q *modelRequest) limitOutput(n wire.TokenCount) {
	if n <= 0 || (q.maxOutput() > 0 && q.maxOutput() <= n) {
		return
	}
	delete(q.body, "max_completion_tokens")
	q.body["max_tokens"] = mustJSON(n)
	q.fields.MaxTokens, q.fields.MaxCompletionTokens = n, 0
}

// encode returns the body for an engine. If tokens were delivered, it asks the engine to continue after them.
func (q *modelRequest) encode(delivered []string) ([]byte, error) {
	q.body[memberStream] = json.RawMessage("true")
	q.body[memberOptions] = mustJSON(streamOptions{IncludeUsage: true, ContinuousUsage: true})
	if len(delivered) > 0 {
		q.body[memberResume] = mustJSON(delivered)
	} else {
		delete(q.body, memberResume)
	}
	return json.Marshal(q.body)
}

// estimatePromptTokens estimates the number of prompt tokens from the prompt's size. The estimate is for queueing and placement
// only; billing uses the engine's count.
func (q *modelRequest) estimatePromptTokens() wire.TokenCount {
	size := len(q.body["messages"]) + len(q.body["prompt"])
	return wire.TokenCount(size/bytesPerToken + 1)
}

// bytesPerToken is the typical length of a token in text, in bytes.
const bytesPerToken = 4

func mustJSON(v any) json.RawMessage {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

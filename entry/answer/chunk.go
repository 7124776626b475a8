package answer

import (
	"encoding/json"

	"cowslipshunt.example/wire"
)

// chunk is one event of an engine's stream, or a complete answer to a caller, in the OpenAI format.
type chunk struct {
	ID                string      `json:"id"`
	Object            string      `json:"object"`
	Created           int64       `json:"created"`
	Model             string      `json:"model"`
	SystemFingerprint string      `json:"system_fingerprint,omitempty"`
	Choices           []choice    `json:"choices"`
	Usage             *tokenUsage `json:"usage,omitempty"`
}

type choice struct {
	Index        int             `json:"index"`
	Delta        *delta          `json:"delta,omitempty"`
	Message      *delta          `json:"message,omitempty"`
	Text         *string         `json:"text,omitempty"`
	FinishReason *string         `json:"finish_reason"`
	Logprobs     json.RawMessage `json:"logprobs,omitempty"`
}

type delta struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
	Refusal *string `json:"refusal,omitempty"`
}

type tokenUsage struct {
	Prompt     wire.TokenCount `json:"prompt_tokens"`
	Completion wire.TokenCount `json:"completion_tokens"`
	Total      wire.TokenCount `json:"total_tokens"`
}

// text returns the text of the token in the chunk, or an empty string.
func (c *chunk) text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	first := c.Choices[0]
	if first.Text != nil {
		return *first.Text
	}
	if first.Delta != nil && first.Delta.Content != nil {
		return *first.Delta.Content
	}
	return ""
}

// finishReason returns the reason why the answer ended, or an empty string.
func (c *chunk) finishReason() string {
	if len(c.Choices) == 0 || c.Choices[0].FinishReason == nil {
		return ""
	}
	return *c.Choices[0].FinishReason
}

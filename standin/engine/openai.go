package main

// completionRequest is the body of an OpenAI completion request, extended by resume_tokens.
type completionRequest struct {
	Model               string         `json:"model"`
	Messages            []message      `json:"messages"`
	Prompt              *promptText    `json:"prompt"`
	Stream              bool           `json:"stream"`
	StreamOptions       *streamOptions `json:"stream_options"`
	MaxTokens           *int           `json:"max_tokens"`
	MaxCompletionTokens *int           `json:"max_completion_tokens"`
	N                   *int           `json:"n"`
	ResumeTokens        []string       `json:"resume_tokens"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
	// ContinuousUsage requests the usage so far with each token.
	ContinuousUsage bool `json:"continuous_usage_stats"`
}

type message struct {
	Role    string      `json:"role"`
	Content contentText `json:"content"`
}

// completion is a full response or one chunk of a streamed one.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// choice has exactly one of Text, Message and Delta.
type choice struct {
	Index        int            `json:"index"`
	Text         *string        `json:"text,omitempty"`
	Message      *answerMessage `json:"message,omitempty"`
	Delta        *delta         `json:"delta,omitempty"`
	Logprobs     *struct{}      `json:"logprobs"`
	FinishReason *string        `json:"finish_reason"`
}

type answerMessage struct {
	Role    string  `json:"role"`
	Content string  `json:"content"`
	Refusal *string `json:"refusal"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type usage struct {
	PromptTokens        int          `json:"prompt_tokens"`
	CompletionTokens    int          `json:"completion_tokens"`
	TotalTokens         int          `json:"total_tokens"`
	PromptTokensDetails tokenDetails `json:"prompt_tokens_details"`
}

type tokenDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// failure is the body of an error response.
type failure struct {
	Error failureDetails `json:"error"`
}

type failureDetails struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

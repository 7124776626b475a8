package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"cowslipshunt.example/shared/standin"
	"cowslipshunt.example/wire"
)

// defaultMaxTokens is the output limit of a request that sets none.
const defaultMaxTokens = 16

// Errors in a request's body.
var (
	errChoices   = errors.New("only one choice is supported")
	errMaxTokens = errors.New("max_tokens is less than 1")
	errNoPrompt  = errors.New("request has no prompt")
)

// job is one completion to run, as parsed from a request.
type job struct {
	request         wire.RequestId
	attempt         int
	workspace       wire.WorkspaceName
	priority        int
	model           wire.ModelName
	prompt          string
	tokens          []string
	resumedTokens   int
	maxTokens       int
	stream          bool
	includeUsage    bool
	continuousUsage bool
	header          map[string]string
}

func readJob(w http.ResponseWriter, r *http.Request, f format) (*job, error) {
	data, err := standin.ReadBody(w, r)
	if err != nil {
		return nil, err
	}
	var body completionRequest
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, err
	}
	if body.N != nil && *body.N != 1 {
		return nil, errChoices
	}
	j := &job{
		request:         wire.RequestId(r.Header.Get(standin.RequestHeader)),
		workspace:       wire.WorkspaceName(r.Header.Get(standin.WorkspaceHeader)),
		model:           wire.ModelName(body.Model),
		resumedTokens:   len(body.ResumeTokens),
		stream:          body.Stream,
		includeUsage:    body.StreamOptions != nil && body.StreamOptions.IncludeUsage,
		continuousUsage: body.StreamOptions != nil && body.StreamOptions.ContinuousUsage,
		header:          standin.JoinHeaderValues(r.Header),
	}
	return j, errors.Join(j.readHeaders(r.Header), j.readPrompt(f, &body), j.readMaxTokens(&body))
}

func (j *job) readHeaders(h http.Header) error {
	var attemptErr, priorityErr error
	j.attempt, attemptErr = headerInt(h, standin.AttemptHeader)
	j.priority, priorityErr = headerInt(h, standin.PriorityHeader)
	return errors.Join(attemptErr, priorityErr)
}

func headerInt(h http.Header, name string) (int, error) {
	text := h.Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0, fmt.Errorf("header %s: %w", name, err)
	}
	return n, nil
}

func (j *job) readPrompt(f format, body *completionRequest) error {
	switch {
	case f.chat && len(body.Messages) > 0:
		j.prompt = joinMessages(body.Messages)
	case !f.chat && body.Prompt != nil:
		j.prompt = string(*body.Prompt)
	default:
		return errNoPrompt
	}
	j.tokens = strings.Fields(j.prompt)
	return nil
}

func (j *job) readMaxTokens(body *completionRequest) error {
	j.maxTokens = defaultMaxTokens
	if body.MaxTokens != nil {
		j.maxTokens = *body.MaxTokens
	}
	if body.MaxCompletionTokens != nil {
		j.maxTokens = *body.MaxCompletionTokens
	}
	if j.maxTokens < 1 {
		return errMaxTokens
	}
	return nil
}

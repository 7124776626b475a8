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

// defaultMaxTokens ends an answer to a request that sets no bound.
const defaultMaxTokens = 16

// Faults of a request's body.
var (
	errChoices   = errors.New("only one choice is supported")
	errMaxTokens = errors.New("max_tokens is less than 1")
	errNoPrompt  = errors.New("request has no prompt")
)

// job is one completion to run.
type job struct {
	request      wire.RequestId
	attempt      int
	workspace    wire.WorkspaceName
	priority     int
	model        wire.ModelName
	prompt       string
	tokens       []string
	resumed      int
	limit        int
	stream       bool
	includeUsage bool
	usageSoFar   bool
	header       map[string]string
}

func readJob(w http.ResponseWriter, r *http.Request, s shape) (*job, error) {
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
		request:      wire.RequestId(r.Header.Get(standin.RequestHeader)),
		workspace:    wire.WorkspaceName(r.Header.Get(standin.WorkspaceHeader)),
		model:        wire.ModelName(body.Model),
		resumed:      len(body.ResumeTokens),
		stream:       body.Stream,
		includeUsage: body.StreamOptions != nil && body.StreamOptions.IncludeUsage,
		usageSoFar:   body.StreamOptions != nil && body.StreamOptions.ContinuousUsage,
		header:       standin.JoinHeaderValues(r.Header),
	}
	return j, errors.Join(j.readNumbers(r.Header), j.readPrompt(s, &body), j.readLimit(&body))
}

func (j *job) readNumbers(h http.Header) error {
	var attemptErr, priorityErr error
	j.attempt, attemptErr = number(h, standin.AttemptHeader)
	j.priority, priorityErr = number(h, standin.PriorityHeader)
	return errors.Join(attemptErr, priorityErr)
}

func number(h http.Header, name string) (int, error) {
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

func (j *job) readPrompt(s shape, body *completionRequest) error {
	switch {
	case s.chat && len(body.Messages) > 0:
		j.prompt = joinMessages(body.Messages)
	case !s.chat && body.Prompt != nil:
		j.prompt = string(*body.Prompt)
	default:
		return errNoPrompt
	}
	j.tokens = strings.Fields(j.prompt)
	return nil
}

func (j *job) readLimit(body *completionRequest) error {
	j.limit = defaultMaxTokens
	if body.MaxTokens != nil {
		j.limit = *body.MaxTokens
	}
	if body.MaxCompletionTokens != nil {
		j.limit = *body.MaxCompletionTokens
	}
	if j.limit < 1 {
		return errMaxTokens
	}
	return nil
}

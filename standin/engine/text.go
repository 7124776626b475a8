package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
)

var errPrompt = errors.New("prompt is neither a text nor a list of one text")

// partError is the error for a message with a content part that is not text.
type partError struct {
	Type string
}

// Error names the part's type.
func (e *partError) Error() string {
	return fmt.Sprintf("content part of type %q is not supported", e.Type)
}

// contentText is a message's content, decoded from a string, a list of text parts, or null. Parts are joined by line feeds.
type contentText string

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON accepts each form.
func (c *contentText) UnmarshalJSON(data []byte) error {
	if data[0] != '[' {
		return json.Unmarshal(data, (*string)(c))
	}
	var parts []contentPart
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	texts := make([]string, 0, len(parts))
	for _, p := range parts {
		if p.Type != "text" {
			return &partError{Type: p.Type}
		}
		texts = append(texts, p.Text)
	}
	*c = contentText(strings.Join(texts, "\n"))
	return nil
}

// promptText is a prompt, decoded from a string or a list of one string.
type promptText string

// UnmarshalJSON accepts each form.
func (p *promptText) UnmarshalJSON(data []byte) error {
	if data[0] != '[' {
		return json.Unmarshal(data, (*string)(p))
	}
	var texts []string
	if err := json.Unmarshal(data, &texts); err != nil || len(texts) != 1 {
		return errPrompt
	}
	*p = promptText(texts[0])
	return nil
}

// joinMessages returns the prompt text of a chat: the contents of all messages, joined by line feeds.
func joinMessages(messages []message) string {
	texts := make([]string, 0, len(messages))
	for _, m := range messages {
		texts = append(texts, string(m.Content))
	}
	return strings.Join(texts, "\n")
}

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"cowslipshunt.example/wire"
)

// sink writes an answer's tokens to the caller. An error means that the answer could not be encoded or written.
type sink interface {
	token(n int, text string) error
	end(u usage) error
}

// plainSink collects the tokens and answers with one JSON body.
type plainSink struct {
	w      http.ResponseWriter
	answer answer
	text   strings.Builder
}

func (s *plainSink) token(_ int, text string) error {
	s.text.WriteString(text)
	return nil
}

func (s *plainSink) end(u usage) error {
	data, err := json.Marshal(s.answer.full(s.text.String(), u))
	if err != nil {
		return err
	}
	s.w.Header().Set("Content-Type", "application/json")
	_, err = s.w.Write(data)
	return err
}

// streamSink answers with server-sent events.
type streamSink struct {
	w            http.ResponseWriter
	answer       answer
	eventPrefix  string
	includeUsage bool
	// usageSoFar returns the usage after a number of output tokens, or nil unless the request wants it with each token.
	usageSoFar func(output int) *usage
}

func newStreamSink(w http.ResponseWriter, a answer, requestID wire.RequestId, j *job) *streamSink {
	return &streamSink{
		w:            w,
		answer:       a,
		eventPrefix:  fmt.Sprintf("%s/%d/", requestID, j.attempt),
		includeUsage: j.includeUsage,
		usageSoFar:   j.usageSoFar,
	}
}

func (s *streamSink) token(n int, text string) error {
	c := s.answer.token(n, text)
	c.Usage = s.usageSoFar(n + 1)
	return s.send(fmt.Sprint(n), c)
}

func (s *streamSink) end(u usage) error {
	if err := s.send("end", s.answer.end()); err != nil {
		return err
	}
	if s.includeUsage {
		if err := s.send("usage", s.answer.usage(u)); err != nil {
			return err
		}
	}
	return s.write([]byte("data: [DONE]\n\n"))
}

func (s *streamSink) send(id string, c completion) error {
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	var event bytes.Buffer
	fmt.Fprintf(&event, "id: %s%s\ndata: %s\n\n", s.eventPrefix, id, data)
	return s.write(event.Bytes())
}

func (s *streamSink) write(data []byte) error {
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	if _, err := s.w.Write(data); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"cowslipshunt.example/wire"
)

// sink takes an answer's tokens. An error means that the caller cannot be reached.
type sink interface {
	token(n int, text string) error
	end(u usage) error
}

// plainSink answers with one JSON body.
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
	data, err := json.Marshal(s.answer.whole(s.text.String(), u))
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
	// soFar returns the usage after some output tokens, or nil if it is not wanted with each token.
	soFar func(output int) *usage
}

func newStreamSink(w http.ResponseWriter, a answer, shown wire.RequestId, j *job) *streamSink {
	return &streamSink{
		w:            w,
		answer:       a,
		eventPrefix:  fmt.Sprintf("%s/%d/", shown, j.attempt),
		includeUsage: j.includeUsage,
		soFar:        j.soFar,
	}
}

func (s *streamSink) token(n int, text string) error {
	c := s.answer.token(n, text)
	c.Usage = s.soFar(n + 1)
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

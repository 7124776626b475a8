package answer

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"cowslipshunt.example/wire"
)

// writeTimeout bounds one write to a caller, so that a slow caller does not occupy its engine slot for long.
const writeTimeout = 20 * time.Second

// sink writes an answer to the caller.
type sink interface {
	// deliver accepts the next chunk of the answer, in order.
	deliver(c *chunk) error
	// finish writes the end of the answer, with its usage.
	finish(usage tokenUsage) error
	// responseStarted reports whether any part of the answer may have been written to the caller.
	responseStarted() bool
}

// responseIdentity holds the fields that identify an answer to its caller. They are the same whichever engines produced it.
type responseIdentity struct {
	id      string
	created int64
	model   string
}

func newIdentity(request wire.RequestId, chat bool, now time.Time, model wire.ModelName) responseIdentity {
	prefix := "cmpl-"
	if chat {
		prefix = "chatcmpl-"
	}
	return responseIdentity{id: prefix + string(request), created: now.Unix(), model: string(model)}
}

// stamp sets the identifying fields of a chunk.
func (i responseIdentity) stamp(c *chunk) {
	c.ID, c.Created, c.Model = i.id, i.created, i.model
}

// streamSink writes each chunk to the caller at once, as a server-sent event.
type streamSink struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	identity     responseIdentity
	object       string
	includeUsage bool
	started      bool
}

func (s *streamSink) deliver(c *chunk) error {
	s.writeHeader()
	s.identity.stamp(c)
	s.object = c.Object
	c.Usage = nil
	return s.writeEvent(c)
}

func (s *streamSink) finish(usage tokenUsage) error {
	s.writeHeader()
	if s.includeUsage {
		last := &chunk{Object: s.object, Choices: []choice{}, Usage: &usage}
		s.identity.stamp(last)
		if err := s.writeEvent(last); err != nil {
			return err
		}
	}
	return s.writeFrame([]byte("data: [DONE]\n\n"))
}

func (s *streamSink) responseStarted() bool {
	return s.started
}

func (s *streamSink) writeHeader() {
	if s.started {
		return
	}
	s.started = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
}

func (s *streamSink) writeEvent(c *chunk) error {
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	frame := make([]byte, 0, len(data)+8)
	frame = append(frame, "data: "...)
	frame = append(frame, data...)
	frame = append(frame, "\n\n"...)
	return s.writeFrame(frame)
}

func (s *streamSink) writeFrame(frame []byte) error {
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.w.Write(frame); err != nil {
		return err
	}
	return s.control.Flush()
}

// bufferedSink collects the answer and writes it as one JSON object when it is complete.
type bufferedSink struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	identity     responseIdentity
	chat         bool
	text         strings.Builder
	finishReason string
}

func (s *bufferedSink) deliver(c *chunk) error {
	s.text.WriteString(c.text())
	if reason := c.finishReason(); reason != "" {
		s.finishReason = reason
	}
	return nil
}

func (s *bufferedSink) finish(usage tokenUsage) error {
	text := s.text.String()
	onlyChoice := choice{FinishReason: &s.finishReason, Logprobs: json.RawMessage("null")}
	completion := &chunk{Object: "text_completion", Usage: &usage}
	if s.chat {
		completion.Object = "chat.completion"
		onlyChoice.Message = &delta{Role: "assistant", Content: &text}
	} else {
		onlyChoice.Text = &text
	}
	completion.Choices = []choice{onlyChoice}
	s.identity.stamp(completion)
	data, err := json.Marshal(completion)
	if err != nil {
		return err
	}
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	s.w.Header().Set("Content-Type", "application/json")
	_, err = s.w.Write(data)
	return err
}

func (s *bufferedSink) responseStarted() bool {
	return false
}

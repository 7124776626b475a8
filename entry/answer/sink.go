package answer

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"cowslipshunt.example/wire"
)

// writeTimeout bounds one write to a caller, so that a slow caller holds nothing for long.
const writeTimeout = 20 * time.Second

// sink gives an answer to the caller.
type sink interface {
	// token takes the next chunk of the answer, in order.
	token(c *chunk) error
	// end completes the answer.
	end(usage tokens) error
	// begun tells whether the caller has got any of the answer.
	begun() bool
}

// identity is what a caller sees of the whole answer, whichever engines it came from.
type identity struct {
	id      string
	created int64
	model   string
}

func newIdentity(request wire.RequestId, chat bool, now time.Time, model wire.ModelName) identity {
	prefix := "cmpl-"
	if chat {
		prefix = "chatcmpl-"
	}
	return identity{id: prefix + string(request), created: now.Unix(), model: string(model)}
}

func (i identity) mark(c *chunk) {
	c.ID, c.Created, c.Model = i.id, i.created, i.model
}

// streamSink writes server-sent events.
type streamSink struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	identity     identity
	object       string
	includeUsage bool
	started      bool
}

func (s *streamSink) token(c *chunk) error {
	s.start()
	s.identity.mark(c)
	s.object = c.Object
	c.Usage = nil
	return s.event(c)
}

func (s *streamSink) end(usage tokens) error {
	s.start()
	if s.includeUsage {
		last := &chunk{Object: s.object, Choices: []choice{}, Usage: &usage}
		s.identity.mark(last)
		if err := s.event(last); err != nil {
			return err
		}
	}
	return s.write([]byte("data: [DONE]\n\n"))
}

func (s *streamSink) begun() bool {
	return s.started
}

func (s *streamSink) start() {
	if s.started {
		return
	}
	s.started = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
}

func (s *streamSink) event(c *chunk) error {
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	frame := make([]byte, 0, len(data)+8)
	frame = append(frame, "data: "...)
	frame = append(frame, data...)
	frame = append(frame, "\n\n"...)
	return s.write(frame)
}

func (s *streamSink) write(frame []byte) error {
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.w.Write(frame); err != nil {
		return err
	}
	return s.control.Flush()
}

// wholeSink collects the answer and writes it at its end.
type wholeSink struct {
	w        http.ResponseWriter
	control  *http.ResponseController
	identity identity
	chat     bool
	text     strings.Builder
	reason   string
}

func (s *wholeSink) token(c *chunk) error {
	s.text.WriteString(c.text())
	if reason := c.finish(); reason != "" {
		s.reason = reason
	}
	return nil
}

func (s *wholeSink) end(usage tokens) error {
	text := s.text.String()
	only := choice{FinishReason: &s.reason, Logprobs: json.RawMessage("null")}
	whole := &chunk{Object: "text_completion", Usage: &usage}
	if s.chat {
		whole.Object = "chat.completion"
		only.Message = &delta{Role: "assistant", Content: &text}
	} else {
		only.Text = &text
	}
	whole.Choices = []choice{only}
	s.identity.mark(whole)
	data, err := json.Marshal(whole)
	if err != nil {
		return err
	}
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	s.w.Header().Set("Content-Type", "application/json")
	_, err = s.w.Write(data)
	return err
}

func (s *wholeSink) begun() bool {
	return false
}

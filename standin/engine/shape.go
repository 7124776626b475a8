package main

import "cowslipshunt.example/wire"

// finishLength is the reason of every end: only max_tokens ends an answer.
const finishLength = "length"

// shape is one of OpenAI's two forms of a completion.
type shape struct {
	chat        bool
	idPrefix    string
	wholeObject string
	chunkObject string
}

var (
	chatShape = shape{chat: true, idPrefix: "chatcmpl-", wholeObject: "chat.completion", chunkObject: "chat.completion.chunk"}
	textShape = shape{idPrefix: "cmpl-", wholeObject: "text_completion", chunkObject: "text_completion"}
)

// answer builds the parts of one answer.
type answer struct {
	shape   shape
	id      string
	created int64
	model   string
}

func newAnswer(s shape, request wire.RequestId, model wire.ModelName, created int64) answer {
	return answer{shape: s, id: s.idPrefix + string(request), created: created, model: string(model)}
}

func (a answer) part(object string, u *usage, choices ...choice) completion {
	if choices == nil {
		choices = []choice{}
	}
	return completion{ID: a.id, Object: object, Created: a.created, Model: a.model, Choices: choices, Usage: u}
}

// whole is a plain answer.
func (a answer) whole(text string, u usage) completion {
	reason := finishLength
	c := choice{FinishReason: &reason}
	if a.shape.chat {
		c.Message = &answerMessage{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	return a.part(a.shape.wholeObject, &u, c)
}

// token is a streamed chunk with the n-th token; the first carries the role too.
func (a answer) token(n int, text string) completion {
	c := a.piece(text)
	if n == 0 && c.Delta != nil {
		c.Delta.Role = "assistant"
	}
	return a.part(a.shape.chunkObject, nil, c)
}

// end is the streamed chunk with the finish reason.
func (a answer) end() completion {
	reason := finishLength
	c := a.piece("")
	c.FinishReason = &reason
	return a.part(a.shape.chunkObject, nil, c)
}

// usage is the streamed chunk with the usage and no choices.
func (a answer) usage(u usage) completion {
	return a.part(a.shape.chunkObject, &u)
}

func (a answer) piece(text string) choice {
	if a.shape.chat {
		return choice{Delta: &delta{Content: text}}
	}
	return choice{Text: &text}
}

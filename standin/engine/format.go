package main

import "cowslipshunt.example/wire"

// finishLength is the finish reason of every answer, since only max_tokens ends one.
const finishLength = "length"

// format is one of OpenAI's two completion formats, chat or text.
type format struct {
	chat        bool
	idPrefix    string
	fullObject  string
	chunkObject string
}

var (
	chatFormat = format{chat: true, idPrefix: "chatcmpl-", fullObject: "chat.completion", chunkObject: "chat.completion.chunk"}
	textFormat = format{idPrefix: "cmpl-", fullObject: "text_completion", chunkObject: "text_completion"}
)

// answer builds the response bodies of one completion.
type answer struct {
	format  format
	id      string
	created int64
	model   string
}

func newAnswer(f format, request wire.RequestId, model wire.ModelName, created int64) answer {
	return answer{format: f, id: f.idPrefix + string(request), created: created, model: string(model)}
}

func (a answer) newCompletion(object string, u *usage, choices ...choice) completion {
	if choices == nil {
		choices = []choice{}
	}
	return completion{ID: a.id, Object: object, Created: a.created, Model: a.model, Choices: choices, Usage: u}
}

// full returns the body of a response that is not streamed.
func (a answer) full(text string, u usage) completion {
	reason := finishLength
	c := choice{FinishReason: &reason}
	if a.format.chat {
		c.Message = &answerMessage{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	return a.newCompletion(a.format.fullObject, &u, c)
}

// token returns the streamed chunk with the n-th token, counted from 0. The first also carries the role.
func (a answer) token(n int, text string) completion {
	c := a.chunkChoice(text)
	if n == 0 && c.Delta != nil {
		c.Delta.Role = "assistant"
	}
	return a.newCompletion(a.format.chunkObject, nil, c)
}

// end returns the streamed chunk with the finish reason.
func (a answer) end() completion {
	reason := finishLength
	c := a.chunkChoice("")
	c.FinishReason = &reason
	return a.newCompletion(a.format.chunkObject, nil, c)
}

// usage returns the streamed chunk with the usage and without choices.
func (a answer) usage(u usage) completion {
	return a.newCompletion(a.format.chunkObject, &u)
}

func (a answer) chunkChoice(text string) choice {
	if a.format.chat {
		return choice{Delta: &delta{Content: text}}
	}
	return choice{Text: &text}
}

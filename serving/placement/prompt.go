// Package placement chooses the endpoint of a request.
package placement

import (
	"encoding/binary"

	"cowslipshunt.example/serving/roster"
	"github.com/cespare/xxhash/v2"
)

// Part is one part of a prompt: its name and its length in tokens.
type Part struct {
	Name   string
	Tokens int
}

// Prompt is what is known of a generation's prompt. The zero value is a request without one.
type Prompt struct {
	// Tokens is the length of the prompt.
	Tokens int
	// MaxOutput is the most tokens that may be generated.
	MaxOutput int
	// Parts are the prompt's parts in order; the last belongs to the request or its session.
	Parts []Part
	// IDs identify each part together with those before it.
	IDs []roster.PartID
}

// NewPrompt returns the prompt of some parts.
func NewPrompt(tokens, maxOutput int, parts []Part) Prompt {
	p := Prompt{Tokens: tokens, MaxOutput: maxOutput, Parts: parts, IDs: make([]roster.PartID, 0, len(parts))}
	var before [8]byte
	for _, part := range parts {
		digest := xxhash.New()
		_, _ = digest.Write(before[:])
		_, _ = digest.WriteString(part.Name)
		id := digest.Sum64()
		binary.LittleEndian.PutUint64(before[:], id)
		p.IDs = append(p.IDs, roster.PartID(id))
	}
	return p
}

// Anchor identifies the shared parts, by which all instances place alike. It is 0 without parts.
func (p *Prompt) Anchor() roster.PartID {
	switch n := len(p.IDs); n {
	case 0:
		return 0
	case 1:
		return p.IDs[0]
	default:
		return p.IDs[n-2]
	}
}

// Shared returns the parts that other prompts may share: all but the last, or a single one.
func (p *Prompt) Shared() []roster.PartID {
	if n := len(p.IDs); n > 1 {
		return p.IDs[:n-1]
	}
	return p.IDs
}

// Unread is the tokens that an endpoint which keeps the first kept parts has to prefill.
func (p *Prompt) Unread(kept int) int {
	n := p.Tokens
	for _, part := range p.Parts[:kept] {
		n -= part.Tokens
	}
	return max(n, 0)
}

// Package placement chooses the endpoint that a request is sent to.
package placement

import (
	"encoding/binary"

	"cowslipshunt.example/serving/roster"
	"github.com/cespare/xxhash/v2"
)

// Part is one part of a prompt.
type Part struct {
	// Name identifies the part's content.
	Name string
	// Tokens is the length of the part.
	Tokens int
}

// Prompt describes the prompt of a generation. The zero value is for a request without a prompt.
type Prompt struct {
	// Tokens is the length of the prompt.
	Tokens int
	// MaxOutput is the maximum number of tokens that may be generated.
	MaxOutput int
	// Parts are the prompt's parts in order. The last of several is specific to the request or its session, and is not shared.
	Parts []Part
	// IDs holds an id for each part, which identifies the part together with all parts before it.
	IDs []roster.PartID
}

// NewPrompt returns a prompt of the given length and parts, with the ids of the parts.
func NewPrompt(tokens, maxOutput int, parts []Part) Prompt {
	p := Prompt{Tokens: tokens, MaxOutput: maxOutput, Parts: parts, IDs: make([]roster.PartID, 0, len(parts))}
	var previous [8]byte
	for _, part := range parts {
		digest := xxhash.New()
		_, _ = digest.Write(previous[:])
		_, _ = digest.WriteString(part.Name)
		id := digest.Sum64()
		binary.LittleEndian.PutUint64(previous[:], id)
		p.IDs = append(p.IDs, roster.PartID(id))
	}
	return p
}

// SharedPrefix returns the id of the last shared part, which identifies all shared parts together. All instances compute
// the rendezvous order of the engines from this id. It is 0 for a prompt without parts.
func (p *Prompt) SharedPrefix() roster.PartID {
	switch n := len(p.IDs); n {
	case 0:
		return 0
	case 1:
		return p.IDs[0]
	default:
		return p.IDs[n-2]
	}
}

// SharedIDs returns the ids of the parts that other prompts may share: all parts but the last, or the only part.
func (p *Prompt) SharedIDs() []roster.PartID {
	if n := len(p.IDs); n > 1 {
		return p.IDs[:n-1]
	}
	return p.IDs
}

// SharedNames returns the names of the parts that other prompts may share: all parts but the last.
func (p *Prompt) SharedNames() []string {
	var names []string
	for i := range len(p.Parts) - 1 {
		names = append(names, p.Parts[i].Name)
	}
	return names
}

// maxPromptTokens bounds the tokens that a prompt counts for in the load of an engine. Callers state the counts, and a false one must not make
// an engine look busy for ever.
const maxPromptTokens = 1 << 20

// UncachedTokens returns how many tokens of the prompt an endpoint has to prefill if it has the first cached parts in its KV cache, at most
// maxPromptTokens.
func (p *Prompt) UncachedTokens(cached int) int {
	n := p.Tokens
	for _, part := range p.Parts[:cached] {
		n -= part.Tokens
	}
	return min(max(n, 0), maxPromptTokens)
}

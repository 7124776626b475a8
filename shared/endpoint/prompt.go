package endpoint

import (
	"cowslipshunt.example/shared/piece"
	"cowslipshunt.example/wire"
)

// anchorKeys is how many keys tell one conversation from another: those behind are not looked at when entries that know
// nothing of a prompt are to agree on an endpoint.
const anchorKeys = 4

// Prompt is what the choice of an endpoint knows of a request's prompt. The zero prompt is that of a plain service.
type Prompt struct {
	// Tokens is the estimated length.
	Tokens int
	// Keys name the prompt's blocks of KeyTokens tokens each.
	Keys      []piece.Key
	KeyTokens int
}

// left returns how many tokens are left to prefill if the first n blocks are cached. At least one is.
func (p Prompt) left(n int) int {
	return max(p.Tokens-n*p.KeyTokens, min(p.Tokens, 1))
}

// anchor names the conversation, or is zero.
func (p Prompt) anchor() piece.Key {
	if len(p.Keys) == 0 {
		return 0
	}
	return p.Keys[min(len(p.Keys), anchorKeys)-1]
}

// rendezvous weighs an endpoint for a key; all entries agree on it.
func rendezvous(key piece.Key, id wire.EndpointId) uint64 {
	x := uint64(key) ^ offsetBasis
	for i := range len(id) {
		x = (x ^ uint64(id[i])) * prime
	}
	x ^= x >> 32
	return x * prime
}

// Constants of the FNV-1a hash of 64 bits.
const (
	offsetBasis = 14695981039346656037
	prime       = 1099511628211
)

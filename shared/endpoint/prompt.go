package endpoint

import (
	"cowslipshunt.example/shared/promptblock"
	"cowslipshunt.example/wire"
)

// conversationBlocks is how many leading blocks identify a conversation. Later blocks are ignored when entries without any
// record of a prompt have to agree on an endpoint.
const conversationBlocks = 4

// Prompt describes a request's prompt for the choice of an endpoint. The zero value stands for a request to a plain service.
type Prompt struct {
	// Tokens is the estimated length.
	Tokens int
	// Keys are the keys of the prompt's blocks of KeyTokens tokens each.
	Keys      []promptblock.Key
	KeyTokens int
}

// tokensToPrefill returns how many tokens remain to be prefilled if the first blocks are cached. Of a non-empty prompt at least
// one token remains.
func (p Prompt) tokensToPrefill(cachedBlocks int) int {
	return max(p.Tokens-cachedBlocks*p.KeyTokens, min(p.Tokens, 1))
}

// conversation returns a key that identifies the conversation, or zero if the prompt has no block keys.
func (p Prompt) conversation() promptblock.Key {
	if len(p.Keys) == 0 {
		return 0
	}
	return p.Keys[min(len(p.Keys), conversationBlocks)-1]
}

// rendezvousWeight returns the endpoint's rendezvous hashing weight for a key. It is the same in all entries.
func rendezvousWeight(key promptblock.Key, id wire.EndpointId) uint64 {
	x := uint64(key) ^ fnvOffsetBasis
	for i := range len(id) {
		x = (x ^ uint64(id[i])) * fnvPrime
	}
	x ^= x >> 32
	return x * fnvPrime
}

// Constants of the 64-bit FNV-1a hash.
const (
	fnvOffsetBasis = 14695981039346656037
	fnvPrime       = 1099511628211
)

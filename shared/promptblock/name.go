// Package promptblock computes the identifiers of the blocks of a prompt that engines keep in their prefix caches.
package promptblock

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// nameBytes is the number of bytes of a block's digest that its name contains.
const nameBytes = 12

// Names returns a name for each complete block of size tokens of a prompt. Each name also depends on all blocks before it, so two
// prompts share a name only if they agree up to the end of that block.
func Names(tokens []string, size int) []string {
	if size <= 0 {
		return nil
	}
	names := make([]string, 0, len(tokens)/size)
	var previous [sha256.Size]byte
	for ; len(tokens) >= size; tokens = tokens[size:] {
		text := strings.Join(tokens[:size], " ")
		previous = sha256.Sum256(append(previous[:], text...))
		names = append(names, hex.EncodeToString(previous[:nameBytes]))
	}
	return names
}

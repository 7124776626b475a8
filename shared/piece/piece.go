// Package piece names the pieces of a prompt that engines keep in their prefix caches.
package piece

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// nameBytes is how much of a piece's digest makes its name.
const nameBytes = 12

// Names returns the name of each whole piece of size tokens. A piece's name stands for all tokens up to its end, so two
// prompts share a name only if they share the prefix.
func Names(tokens []string, size int) []string {
	if size <= 0 {
		return nil
	}
	names := make([]string, 0, len(tokens)/size)
	var before [sha256.Size]byte
	for ; len(tokens) >= size; tokens = tokens[size:] {
		text := strings.Join(tokens[:size], " ")
		before = sha256.Sum256(append(before[:], text...))
		names = append(names, hex.EncodeToString(before[:nameBytes]))
	}
	return names
}

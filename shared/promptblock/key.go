package promptblock

import (
	"crypto/sha256"
	"encoding/binary"
)

// Key identifies a prefix of a prompt's text that ends at the end of a block. It is a hash of the prefix, so it is the same in
// every process.
type Key uint64

// maxKeys is the maximum number of keys for one text; the blocks after it get none.
const maxKeys = 512

// Keys returns a key for each complete block of size bytes of a text. Each key also depends on all blocks before it, so two texts
// share a key only if they agree up to the end of that block.
func Keys(text []byte, size int) []Key {
	if size <= 0 || len(text) < size {
		return nil
	}
	keys := make([]Key, 0, min(len(text)/size, maxKeys))
	block := make([]byte, sha256.Size+size)
	for ; len(text) >= size && len(keys) < maxKeys; text = text[size:] {
		copy(block[sha256.Size:], text[:size])
		digest := sha256.Sum256(block)
		copy(block, digest[:])
		keys = append(keys, Key(binary.BigEndian.Uint64(digest[:])))
	}
	return keys
}

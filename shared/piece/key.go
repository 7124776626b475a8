package piece

import (
	"crypto/sha256"
	"encoding/binary"
)

// Key names the start of a prompt's text up to the end of a block. It is the same in every process.
type Key uint64

// maxKeys bounds the keys of one text; what lies behind them has none.
const maxKeys = 512

// Keys returns the key of each whole block of size bytes. Two texts share a key only if they share the text up to the
// block's end.
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

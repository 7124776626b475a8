package main

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// wordBytes is how many bytes of a digest make a token's word.
const wordBytes = 4

// tokenSource gives the tokens of a prompt's answer: a pure function of the whole prompt and the index.
type tokenSource [sha256.Size]byte

func newTokenSource(prompt string) tokenSource {
	return sha256.Sum256([]byte(prompt))
}

// token returns a token; all but the first start with a space, so that an answer is its tokens put together.
func (s tokenSource) token(n int) string {
	digest := sha256.Sum256(binary.BigEndian.AppendUint64(s[:], uint64(n)))
	word := hex.EncodeToString(digest[:wordBytes])
	if n == 0 {
		return word
	}
	return " " + word
}

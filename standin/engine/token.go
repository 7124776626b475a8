package main

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// wordBytes is how many bytes of a digest are written, in hexadecimal, as a token's word.
const wordBytes = 4

// tokenSource generates the tokens of an answer as a pure function of the whole prompt and the token's index.
type tokenSource [sha256.Size]byte

func newTokenSource(prompt string) tokenSource {
	return sha256.Sum256([]byte(prompt))
}

// token returns the n-th token. All but the first start with a space, so that the concatenated tokens are the answer.
func (s tokenSource) token(n int) string {
	digest := sha256.Sum256(binary.BigEndian.AppendUint64(s[:], uint64(n)))
	word := hex.EncodeToString(digest[:wordBytes])
	if n == 0 {
		return word
	}
	return " " + word
}

package document

import (
	"crypto/rand"
	"encoding/base64"

	"cowslipshunt.example/wire"
)

const (
	// KeyPrefix starts every API key, so that people and secret scanners recognise one.
	KeyPrefix = "csh_"
	// keyBytes is the number of random bytes in a key.
	keyBytes = 32
)

// NewKey returns a new random API key. The key is a secret: a document contains only its KeyDigest.
func NewKey() string {
	secret := make([]byte, keyBytes)
	_, _ = rand.Read(secret) // crypto/rand never returns an error; it ends the program instead
	return KeyPrefix + base64.RawURLEncoding.EncodeToString(secret)
}

// KeyDigest returns the digest that represents an API key in a document.
func KeyDigest(key string) wire.Digest {
	return Digest([]byte(key))
}

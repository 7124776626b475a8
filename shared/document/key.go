package document

import (
	"crypto/rand"
	"encoding/base64"

	"cowslipshunt.example/wire"
)

const (
	// KeyPrefix starts every key, so that people and scanners know one.
	KeyPrefix = "csh_"
	// keyBytes is the number of random bytes in a key.
	keyBytes = 32
)

// NewKey returns a new API key. It is a secret: only its KeyDigest goes into a document.
func NewKey() string {
	secret := make([]byte, keyBytes)
	_, _ = rand.Read(secret) // crypto/rand never returns an error; it ends the program instead
	return KeyPrefix + base64.RawURLEncoding.EncodeToString(secret)
}

// KeyDigest returns the digest that stands for a key in a document.
func KeyDigest(key string) wire.Digest {
	return Digest([]byte(key))
}

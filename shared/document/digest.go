package document

import (
	"crypto/sha256"
	"encoding/hex"
	"regexp"
	"strings"

	"cowslipshunt.example/wire"
)

const (
	digestPrefix = "sha256:"
	// shortDigestDigits is the number of hex digits that ShortDigest returns.
	shortDigestDigits = 12
)

var digestPattern = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)

// Digest returns the digest of a document's text.
func Digest(text []byte) wire.Digest {
	sum := sha256.Sum256(text)
	return wire.Digest(digestPrefix + hex.EncodeToString(sum[:]))
}

// ShortDigest returns the first 12 hex digits of a digest, for display.
func ShortDigest(d wire.Digest) string {
	digits := strings.TrimPrefix(string(d), digestPrefix)
	return digits[:min(len(digits), shortDigestDigits)]
}

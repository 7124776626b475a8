package endpoint

import "math/rand/v2"

// NewRandom returns a random number generator that is safe for concurrent use.
func NewRandom() *rand.Rand {
	return rand.New(globalSource{})
}

// globalSource is a rand.Source that reads the runtime's global generator.
type globalSource struct{}

// Uint64 returns a random number.
func (globalSource) Uint64() uint64 {
	return rand.Uint64()
}

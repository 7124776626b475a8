package endpoint

import "math/rand/v2"

// NewRandom returns a generator that several goroutines may use at once.
func NewRandom() *rand.Rand {
	return rand.New(globalSource{})
}

// globalSource draws from the runtime's own generator.
type globalSource struct{}

// Uint64 returns a random number.
func (globalSource) Uint64() uint64 {
	return rand.Uint64()
}

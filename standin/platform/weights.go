package main

import (
	"context"
	"crypto/sha256"
	"io"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

// Weights are written in chunks of 1/chunksPerSecond of the rate, but at least 1 byte and at most maxChunkBytes.
const (
	chunksPerSecond = 20
	maxChunkBytes   = 64 << 10
)

// Weights is the weight store. Its rate limit applies to all readers together.
type Weights struct {
	clock      clockwork.Clock
	limiter    *rate.Limiter
	size       int
	chunkBytes int
}

// NewWeights returns a store that serves size bytes of weights for each model version.
func NewWeights(clock clockwork.Clock, bytesPerSecond, size int) *Weights {
	chunkBytes := min(max(bytesPerSecond/chunksPerSecond, 1), maxChunkBytes)
	limiter := rate.NewLimiter(rate.Limit(bytesPerSecond), chunkBytes)
	return &Weights{clock: clock, limiter: limiter, size: size, chunkBytes: chunkBytes}
}

// Size returns the size of a model version's weights, in bytes.
func (s *Weights) Size() int {
	return s.size
}

// Copy writes a model version's weights to w at the limited rate. Their content is a pure function of model and version. It
// returns early if ctx ends or a write fails.
func (s *Weights) Copy(ctx context.Context, w io.Writer, model, version string) error {
	seed := sha256.Sum256([]byte(model + "/" + version))
	chunk := make([]byte, s.chunkBytes)
	for offset := 0; offset < s.size; {
		n := min(s.chunkBytes, s.size-offset)
		if err := s.wait(ctx, n); err != nil {
			return err
		}
		for i := range n {
			chunk[i] = seed[(offset+i)%len(seed)]
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return err
		}
		offset += n
	}
	return nil
}

func (s *Weights) wait(ctx context.Context, n int) error {
	now := s.clock.Now()
	r := s.limiter.ReserveN(now, n)
	timer := s.clock.NewTimer(r.DelayFrom(now))
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return nil
	case <-ctx.Done():
		r.CancelAt(s.clock.Now())
		return ctx.Err()
	}
}

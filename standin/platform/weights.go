package main

import (
	"context"
	"crypto/sha256"
	"io"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

// Weights are written in pieces of 1/piecesPerSecond of the rate, but at least 1 byte and at most maxPieceBytes.
const (
	piecesPerSecond = 20
	maxPieceBytes   = 64 << 10
)

// Weights is the weight store. Its rate limit applies to all readers together.
type Weights struct {
	clock      clockwork.Clock
	limiter    *rate.Limiter
	size       int
	pieceBytes int
}

// NewWeights returns a store that serves size bytes of weights for each model version.
func NewWeights(clock clockwork.Clock, bytesPerSecond, size int) *Weights {
	pieceBytes := min(max(bytesPerSecond/piecesPerSecond, 1), maxPieceBytes)
	limiter := rate.NewLimiter(rate.Limit(bytesPerSecond), pieceBytes)
	return &Weights{clock: clock, limiter: limiter, size: size, pieceBytes: pieceBytes}
}

// Size returns the size of a model version's weights, in bytes.
func (s *Weights) Size() int {
	return s.size
}

// Copy writes a model version's weights to w at the limited rate. Their content is a pure function of model and version. It
// returns early if ctx ends or a write fails.
func (s *Weights) Copy(ctx context.Context, w io.Writer, model, version string) error {
	seed := sha256.Sum256([]byte(model + "/" + version))
	piece := make([]byte, s.pieceBytes)
	for offset := 0; offset < s.size; {
		n := min(s.pieceBytes, s.size-offset)
		if err := s.wait(ctx, n); err != nil {
			return err
		}
		for i := range n {
			piece[i] = seed[(offset+i)%len(seed)]
		}
		if _, err := w.Write(piece[:n]); err != nil {
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

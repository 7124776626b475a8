package main

import (
	"context"
	"crypto/sha256"
	"io"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

// Size of one piece of weights: a fraction of a second's bytes, within bounds.
const (
	piecesPerSecond = 20
	maxPieceBytes   = 64 << 10
)

// Weights is the weight store; all its readers together get a limited rate.
type Weights struct {
	clock   clockwork.Clock
	limiter *rate.Limiter
	size    int
	piece   int
}

// NewWeights returns a store whose files have size bytes each.
func NewWeights(clock clockwork.Clock, bytesPerSecond, size int) *Weights {
	piece := min(max(bytesPerSecond/piecesPerSecond, 1), maxPieceBytes)
	limiter := rate.NewLimiter(rate.Limit(bytesPerSecond), piece)
	return &Weights{clock: clock, limiter: limiter, size: size, piece: piece}
}

// Size returns the bytes of each file.
func (s *Weights) Size() int {
	return s.size
}

// Copy writes a model version's weights; they are a pure function of both names.
func (s *Weights) Copy(ctx context.Context, w io.Writer, model, version string) error {
	seed := sha256.Sum256([]byte(model + "/" + version))
	piece := make([]byte, s.piece)
	for at := 0; at < s.size; {
		n := min(s.piece, s.size-at)
		if err := s.wait(ctx, n); err != nil {
			return err
		}
		for i := range n {
			piece[i] = seed[(at+i)%len(seed)]
		}
		if _, err := w.Write(piece[:n]); err != nil {
			return err
		}
		at += n
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

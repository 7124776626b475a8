package main

import (
	"context"
	"errors"
	"time"

	"cowslipshunt.example/shared/piece"
	"cowslipshunt.example/wire"
)

var errCrash = errors.New("a fault cut the request")

// generate runs a job: prefill, then a token at a time. Deadlines count from the start, so late timers add up to nothing.
func (e *engine) generate(ctx context.Context, j *job, fault wire.EngineFault, rec *record, out sink) error {
	if err := e.waitUntil(ctx, e.clock.Now().Add(millis(fault.LateMillis))); err != nil {
		return err
	}
	cached, err := e.prefill(ctx, j)
	if err != nil {
		return err
	}
	source := newTokenSource(j.shownPrompt(fault))
	start := e.clock.Now()
	n := j.resumed
	for ; n < j.limit; n++ {
		if err := inject(ctx, fault, n-j.resumed); err != nil {
			return err
		}
		if err := e.waitUntil(ctx, start.Add(micros(e.cfg.DecodeMicrosPerToken*(n-j.resumed+1)))); err != nil {
			return err
		}
		rec.emit()
		e.meters.outputTokens.Inc()
		if err := out.token(n, source.token(n)); err != nil {
			return err
		}
	}
	if err := inject(ctx, fault, n-j.resumed); err != nil {
		return err
	}
	rec.finish()
	return out.end(j.usage(n, cached))
}

// prefill takes the time that the prompt's tokens need, less those in the cache, and returns how many those are.
func (e *engine) prefill(ctx context.Context, j *job) (cached int, err error) {
	pieces := piece.Names(j.tokens, e.cfg.PieceTokens)
	cached = e.cache.match(pieces) * e.cfg.PieceTokens
	charged := len(j.tokens) + j.resumed - cached
	e.meters.cachedTokens.Add(cached)
	e.meters.prefillTokens.Add(charged)
	if err := e.waitUntil(ctx, e.clock.Now().Add(micros(e.cfg.PrefillMicrosPerToken*charged))); err != nil {
		return 0, err
	}
	e.cache.store(pieces)
	return cached, nil
}

// inject crashes or stalls a request that has emitted enough tokens. A stall holds the connection and the place in the
// batch until the request is ended from outside.
func inject(ctx context.Context, fault wire.EngineFault, emitted int) error {
	if reached(fault.CrashAfterTokens, emitted) {
		return errCrash
	}
	if reached(fault.StallAfterTokens, emitted) {
		<-ctx.Done()
		return context.Cause(ctx)
	}
	return nil
}

// reached tells whether a fault's bound is set and reached; a negative one acts before the first token.
func reached(bound, emitted int) bool {
	return bound != 0 && emitted >= bound
}

// waitUntil waits for a time, or returns why the context ended.
func (e *engine) waitUntil(ctx context.Context, at time.Time) error {
	d := at.Sub(e.clock.Now())
	if d <= 0 {
		return context.Cause(ctx)
	}
	timer := e.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (j *job) usage(output, cached int) usage {
	return usage{
		PromptTokens:        len(j.tokens),
		CompletionTokens:    output,
		TotalTokens:         len(j.tokens) + output,
		PromptTokensDetails: tokenDetails{CachedTokens: cached},
	}
}

// soFar returns the usage after some output tokens, if the request wants it with each token.
func (j *job) soFar(output int) *usage {
	if !j.usageSoFar {
		return nil
	}
	u := j.usage(output, 0)
	return &u
}

// shownPrompt is the prompt that an answer is to; a crossed answer is to another one.
func (j *job) shownPrompt(fault wire.EngineFault) string {
	if fault.WrongAttempt {
		return "crossed " + j.prompt
	}
	return j.prompt
}

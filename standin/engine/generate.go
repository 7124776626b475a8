package main

import (
	"context"
	"errors"
	"time"

	"cowslipshunt.example/shared/promptblock"
	"cowslipshunt.example/wire"
)

var errCrash = errors.New("the request was cut by the CrashAfterTokens fault")

// generate runs a job: prefill, then decode one token at a time. The time of each token is computed from the start of decode,
// so that the delays of late timers do not add up.
func (e *engine) generate(ctx context.Context, j *job, fault wire.EngineFault, rec *record, out sink) error {
	if err := e.waitUntil(ctx, e.clock.Now().Add(millis(fault.LateMillis))); err != nil {
		return err
	}
	cached, err := e.prefill(ctx, j)
	if err != nil {
		return err
	}
	source := newTokenSource(j.answeredPrompt(fault))
	start := e.clock.Now()
	n := j.resumedTokens
	for ; n < j.maxTokens; n++ {
		if err := injectFault(ctx, fault, n-j.resumedTokens); err != nil {
			return err
		}
		if err := e.waitUntil(ctx, start.Add(micros(e.cfg.DecodeMicrosPerToken*(n-j.resumedTokens+1)))); err != nil {
			return err
		}
		rec.emit()
		e.counters.outputTokens.Inc()
		if err := out.token(n, source.token(n)); err != nil {
			return err
		}
	}
	if err := injectFault(ctx, fault, n-j.resumedTokens); err != nil {
		return err
	}
	rec.finish()
	return out.end(j.usage(n, cached))
}

// prefill waits for the prefill time of the prompt's and resumed tokens that are not in the cache, and returns the number of
// cached tokens.
func (e *engine) prefill(ctx context.Context, j *job) (cached int, err error) {
	blocks := promptblock.Names(j.tokens, e.cfg.PieceTokens)
	cached = e.cache.match(blocks) * e.cfg.PieceTokens
	charged := len(j.tokens) + j.resumedTokens - cached
	e.counters.cachedTokens.Add(cached)
	e.counters.prefillTokens.Add(charged)
	if err := e.waitUntil(ctx, e.clock.Now().Add(micros(e.cfg.PrefillMicrosPerToken*charged))); err != nil {
		return 0, err
	}
	e.cache.store(blocks)
	return cached, nil
}

// injectFault crashes or stalls a request once it has emitted the fault's number of tokens. A stalled request keeps its
// connection and its place in the batch until its context ends.
func injectFault(ctx context.Context, fault wire.EngineFault, emitted int) error {
	if reached(fault.CrashAfterTokens, emitted) {
		return errCrash
	}
	if reached(fault.StallAfterTokens, emitted) {
		<-ctx.Done()
		return context.Cause(ctx)
	}
	return nil
}

// reached reports whether a fault's token count is set and reached. A negative count triggers before the first token.
func reached(tokens, emitted int) bool {
	return tokens != 0 && emitted >= tokens
}

// waitUntil waits until a time, or returns the context's cause if it ends before.
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

// usageSoFar returns the usage after a number of output tokens, or nil unless the request wants it with each token.
func (j *job) usageSoFar(output int) *usage {
	if !j.continuousUsage {
		return nil
	}
	u := j.usage(output, 0)
	return &u
}

// answeredPrompt returns the prompt from which the answer's tokens are generated. Under the WrongAttempt fault it differs from
// the request's prompt.
func (j *job) answeredPrompt(fault wire.EngineFault) string {
	if fault.WrongAttempt {
		return "crossed " + j.prompt
	}
	return j.prompt
}

package relay

import (
	"context"
	"time"

	"cowslipshunt.example/serving/placement"
	"cowslipshunt.example/serving/roster"
)

// maxDecodePrefillTokens is the longest prompt that a decode engine prefills itself, in tokens. The engine prefills between the
// decode steps of its running streams, so a longer prompt would delay their tokens.
const maxDecodePrefillTokens = 1000

// maxPrefillAttempts is how many prefill engines are tried before the decode engine prefills the prompt itself.
const maxPrefillAttempts = 2

// chooseEngine returns the decode engine for the next send, or nil if none is available or the context has ended. A long prompt is
// prefilled by a prefill engine first, unless a KV cache is or was already held or a stream is being resumed.
func (j *job) chooseEngine(ctx context.Context) *roster.Endpoint {
	if j.request.Prompt.Tokens <= maxDecodePrefillTokens || j.lastEvent != "" || j.source != nil || j.sourceLost || j.sendIsPaid {
		return j.chooseDecode()
	}
	for range maxPrefillAttempts {
		if j.withheld() {
			return nil
		}
		need := j.need(roster.Prefill)
		e := placement.ChoosePrefill(j.endpoints(need), &j.request.Prompt, need, j.relay.clock.Now())
		if e == nil || !j.allowSend() {
			return j.chooseDecode()
		}
		if j.prefill(ctx, e) {
			return placement.ChooseDecodeNearCache(j.endpoints(j.need(roster.Decode)), &j.request.Prompt, e.Entry().Domain)
		}
		if ctx.Err() != nil {
			return nil
		}
	}
	return j.chooseDecode()
}

// chooseDecode returns the decode engine that is expected to generate first when it prefills the prompt itself, or nil.
func (j *job) chooseDecode() *roster.Endpoint {
	need := j.need(roster.Decode)
	return placement.ChooseDecode(j.endpoints(need), &j.request.Prompt, need, j.relay.clock.Now())
}

// prefill has an engine prefill the prompt and reports whether the engine now holds its KV cache.
func (j *job) prefill(ctx context.Context, e *roster.Endpoint) bool {
	release := j.countInFlight(e, j.uncachedTokens(e))
	defer release()
	a := j.newAttempt()
	a.PrefillOnly = true
	w := newWatchdog(ctx, j.relay.clock, max(minPrefillTimeout, prefillTimeoutEstimates*j.prefillEstimate(e)), nil)
	defer w.close()
	j.beginExchange(e)
	answer, err := j.relay.sender.Send(w.ctx, e, a)
	j.relay.noteSent(e, a, answer, sourcePrefill)
	err = w.explain(err)
	if j.recordUnsent(ctx, e, err) {
		return false
	}
	if err != nil {
		j.sent++
		j.recordFailure(ctx, e, err)
		return false
	}
	defer answer.Body.Close()
	j.exchange.status = answer.Status
	if !answer.Success() {
		j.sent++
		j.recordRejection(e, answer)
		return false
	}
	handle, err := j.relay.sender.Prefilled(answer)
	if err != nil {
		j.sent++
		j.recordFailure(ctx, e, w.explain(err))
		return false
	}
	j.exchange.end(j.relay.clock.Now(), nil)
	j.recordSuccess(e)
	j.recordCachedParts(e)
	j.source = &Source{Endpoint: e, Handle: handle}
	j.observe("Prefilled", e, answer.Status, "", nil)
	return true
}

// prefillEstimate returns the estimated time until an engine has prefilled the prompt, including the work queued there.
func (j *job) prefillEstimate(e *roster.Endpoint) time.Duration {
	return placement.PrefillTime(e, &j.request.Prompt, j.relay.clock.Now())
}

// uncachedTokens returns how many tokens of the prompt an endpoint probably has to prefill because it does not have them cached.
func (j *job) uncachedTokens(e *roster.Endpoint) int {
	return j.request.Prompt.UncachedTokens(e.CachedParts(j.request.Prompt.IDs, j.relay.clock.Now()))
}

// recordCachedParts records that an endpoint now caches the prompt's shared parts, and reports them to the other instances if
// that is new.
func (j *job) recordCachedParts(e *roster.Endpoint) {
	parts := j.request.Prompt.SharedIDs()
	if len(parts) > 0 && e.RecordParts(parts, j.relay.clock.Now()) {
		j.relay.reportCached(e.Entry().ID, parts)
	}
}

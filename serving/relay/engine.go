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
	for j.prefills = 0; j.prefills < maxPrefillAttempts; {
		if j.withheld() {
			return nil
		}
		need := j.need(roster.Prefill)
		e := placement.ChoosePrefill(j.endpoints(need), &j.request.Prompt, need, j.relay.clock.Now())
		if e == nil || !j.allowSend() {
			return j.chooseDecode()
		}
		if j.prefill(ctx, e) {
			return placement.ChooseDecodeNearCache(j.endpoints(j.need(roster.Decode)), &j.request.Prompt, j.source.Endpoint.Entry().Domain)
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

// prefill has an engine prefill the prompt, or another one if it is silent for too long, and reports whether one of them now holds its KV cache.
func (j *job) prefill(ctx context.Context, e *roster.Endpoint) bool {
	s := j.newPrefill(ctx, e)
	defer func() {
		j.dropHandover()
		s.close()
	}()
	j.exchange = s.exchange
	j.wait(s)
	next := j.settle(s)
	prefilled := j.recordReceived(ctx, s)
	if next != nil {
		if prefilled {
			// Only one successful prefill is free.
			j.sent++
		}
		j.discard(s)
		s, prefilled = next, true
		j.exchange = s.exchange
	}
	if !prefilled {
		j.discard(s)
		return false
	}
	s.exchange.end(j.relay.clock.Now(), nil)
	j.recordSuccess(s.exchange)
	j.source = &Source{Endpoint: s.endpoint, Handle: s.handle}
	j.observe("Prefilled", s.exchange, s.answer.Status, "", nil)
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

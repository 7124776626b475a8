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
// prefilled by a prefill engine first, unless a KV cache is or was already held or a stream is being resumed, or a decode engine is expected to
// be much sooner. It also returns nil, and sets refusedFor, if the request would be sent in vain.
func (j *job) chooseEngine(ctx context.Context) *roster.Endpoint {
	if j.request.Prompt.Tokens <= maxDecodePrefillTokens || j.lastEvent != "" || j.source != nil || j.sourceLost || j.sendIsPaid {
		return j.admitted(j.chooseDecode())
	}
	for j.prefills = 0; j.prefills < maxPrefillAttempts; {
		if j.withheld() {
			return nil
		}
		need := j.need(roster.Prefill)
		e := placement.ChoosePrefill(j.endpoints(need), &j.request.Prompt, need, j.relay.clock.Now())
		if e == nil {
			return j.admitted(j.chooseDecode())
		}
		if d := j.chooseOverflow(e); d != nil {
			return d
		}
		if j.overloaded(e) {
			return nil
		}
		if !j.allowSend() {
			return j.chooseDecode()
		}
		if j.prefill(ctx, e) {
			need = j.need(roster.Decode)
			return placement.ChooseDecodeNearSource(j.endpoints(need), &j.request.Prompt, need, j.source.Endpoint.Entry().Domain, j.relay.clock.Now())
		}
		if ctx.Err() != nil {
			return nil
		}
	}
	return j.chooseDecode()
}

// admitted returns the engine, or nil if the request would be sent to it in vain.
func (j *job) admitted(e *roster.Endpoint) *roster.Endpoint {
	if e != nil && j.overloaded(e) {
		return nil
	}
	return e
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
	s.watchdog.setLimit(j.prefillTimeout(e))
	j.exchange = s.exchange
	j.wait(s, func() { j.receive(s) })
	prefilled := j.recordReceived(ctx, s)
	if prefilled {
		j.goOn(s)
	} else if next := j.awaitHandover(); next != nil {
		s.close()
		s, prefilled = next, true
		j.exchange = s.exchange
	}
	if !prefilled {
		return false
	}
	s.exchange.end(j.relay.clock.Now(), nil)
	j.observeSpeed(s.exchange)
	j.recordSuccess(s.exchange)
	j.source = &Source{Endpoint: s.endpoint, Handle: s.handle}
	j.observe("Prefilled", s.exchange, s.answer.Status, "", nil)
	return true
}

// observeSpeed learns the speed of an engine of a contended service from a prefill that has ended.
func (j *job) observeSpeed(x *exchange) {
	if !j.service.Contended {
		return
	}
	factor, changed := placement.ObservePrefill(x.endpoint, x.queued, x.unread, x.ended.Sub(x.began), j.relay.domain, x.ended)
	if factor > 0 {
		j.relay.reportSpeed(x.endpoint, factor, changed)
	}
}

// prefillTimeout returns how long to wait for a separate prefill before another endpoint is asked.
func (j *job) prefillTimeout(e *roster.Endpoint) time.Duration {
	return max(minPrefillTimeout, prefillTimeoutEstimates*j.prefillEstimate(e))
}

// prefillEstimate returns the estimated time until an engine has prefilled the prompt, including the work queued there.
func (j *job) prefillEstimate(e *roster.Endpoint) time.Duration {
	if !j.service.Contended {
		return placement.NominalPrefillTime(e, &j.request.Prompt, j.relay.clock.Now())
	}
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

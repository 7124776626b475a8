package relay

import (
	"context"
	"errors"

	"cowslipshunt.example/serving/placement"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
)

// directTokens is how many unread tokens a decoding engine reads itself: about two pieces between the tokens of others,
// which does not yet make their streams late.
const directTokens = 1500

// chooseEngine returns the engine that generates. A long prompt is read by a prefill engine of the same failure domain
// first.
func (j *job) chooseEngine(ctx context.Context) *roster.Endpoint {
	p := &j.request.Prompt
	decode := j.endpoints(j.need(roster.Decode))
	if p.Tokens <= directTokens || j.lastEvent != "" || j.source != nil {
		return j.chooseDecode(decode, j.relay.domain)
	}
	need := j.need(roster.Prefill)
	for range prefillTries {
		e := placement.ByPrefix(j.endpoints(need), p, need)
		if e == nil {
			break
		}
		if !j.maySend() {
			break
		}
		if j.prefill(ctx, e) {
			return j.chooseDecode(j.endpoints(j.need(roster.Decode)), e.Entry().Domain)
		}
		if ctx.Err() != nil {
			return nil
		}
		need.Not = j.not
	}
	return j.chooseDecode(decode, j.relay.domain)
}

// prefillTries bounds the prefill engines that are asked before the decoding engine reads the prompt itself.
const prefillTries = 2

func (j *job) chooseDecode(decode []*roster.Endpoint, near wire.DomainName) *roster.Endpoint {
	return placement.ByPrefixToDecode(placement.InDomain(decode, near), &j.request.Prompt, j.need(roster.Decode))
}

// prefill has the prompt read and tells whether its KV cache is there.
func (j *job) prefill(ctx context.Context, e *roster.Endpoint) bool {
	release := e.Begin(j.unread(e))
	defer release()
	a := j.attempt()
	a.PrefillOnly = true
	answer, err := j.relay.sender.Send(ctx, e, a)
	var neverSent *NeverSentError
	if errors.As(err, &neverSent) {
		j.failed(ctx, e, err)
		return false
	}
	if err != nil {
		j.sent++
		j.failed(ctx, e, err)
		return false
	}
	defer answer.Body.Close()
	if !answer.Success() {
		j.sent++
		j.rejected(e, answer)
		return false
	}
	handle, err := j.relay.sender.Prefilled(answer)
	if err != nil {
		j.sent++
		j.failed(ctx, e, err)
		return false
	}
	e.Worked()
	j.learn(e)
	j.source = &Source{Endpoint: e, Handle: handle}
	j.decided("Prefilled", e, answer.Status, "", nil)
	return true
}

// unread is the tokens of the prompt that an endpoint is thought to have to prefill.
func (j *job) unread(e *roster.Endpoint) int {
	return j.request.Prompt.Unread(e.Kept(j.request.Prompt.IDs, j.relay.clock.Now()))
}

// learn notes that an endpoint keeps the prompt's shared parts from now on, and tells the other instances if it is news.
func (j *job) learn(e *roster.Endpoint) {
	parts := j.request.Prompt.Shared()
	if len(parts) > 0 && e.Learn(parts, j.relay.clock.Now()) {
		j.relay.learned(e.Entry().ID, parts)
	}
}

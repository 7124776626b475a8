package relay

import (
	"context"
	"errors"
	"time"

	"cowslipshunt.example/serving/placement"
	"cowslipshunt.example/serving/roster"
)

// directTokens is how long a prompt may be that a decoding engine reads itself, between the tokens of the streams that it
// generates: a longer one makes those late.
const directTokens = 1000

// prefillTries bounds the prefill engines that are asked before the decoding engine reads the prompt itself.
const prefillTries = 2

// chooseEngine returns the engine that generates. A long prompt is read by a prefill engine first.
func (j *job) chooseEngine(ctx context.Context) *roster.Endpoint {
	if j.request.Prompt.Tokens <= directTokens || j.lastEvent != "" || j.source != nil {
		return j.decoder()
	}
	for range prefillTries {
		need := j.need(roster.Prefill)
		reader := placement.Reader(j.endpoints(need), &j.request.Prompt, need, j.relay.clock.Now())
		if reader == nil || !j.maySend() {
			return j.decoder()
		}
		if j.prefill(ctx, reader) {
			return placement.Taker(j.endpoints(j.need(roster.Decode)), &j.request.Prompt, reader.Entry().Domain)
		}
		if ctx.Err() != nil {
			return nil
		}
	}
	return j.decoder()
}

// decoder returns the engine that would generate first if it reads the prompt itself.
func (j *job) decoder() *roster.Endpoint {
	need := j.need(roster.Decode)
	return placement.Decoder(j.endpoints(need), &j.request.Prompt, need, j.relay.clock.Now())
}

// prefill has the prompt read and tells whether its KV cache is there.
func (j *job) prefill(ctx context.Context, e *roster.Endpoint) bool {
	release := j.begin(e, j.unread(e))
	defer release()
	a := j.attempt()
	a.PrefillOnly = true
	w := newWatch(ctx, j.relay.clock, max(leastSilence, estimatesOfSilence*j.estimate(e)))
	defer w.end()
	answer, err := j.relay.sender.Send(w.ctx, e, a)
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
	j.worked(e)
	j.learn(e)
	j.source = &Source{Endpoint: e, Handle: handle}
	j.decided("Prefilled", e, answer.Status, "", nil)
	return true
}

// estimate is the time until an engine has read the prompt.
func (j *job) estimate(e *roster.Endpoint) time.Duration {
	return placement.ReadTime(e, &j.request.Prompt, j.relay.clock.Now())
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

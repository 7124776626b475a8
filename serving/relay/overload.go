package relay

import (
	"math/rand/v2"
	"time"

	"cowslipshunt.example/serving/admission"
	"cowslipshunt.example/serving/placement"
	"cowslipshunt.example/serving/roster"
)

// overloadReason is why a request for a contended service is refused without being sent.
const overloadReason = "no engine is expected to answer in time"

// returnSpread bounds the random part that is added to the Retry-After of requests that are refused for overload, as a fraction of it, so that
// their callers do not return together.
const returnSpread = 0.5

// admissionRequest returns the request as package admission decides on it.
func (j *job) admissionRequest() admission.Request {
	patience := j.deadline.Sub(j.request.Arrived)
	if limit := j.route.Patience(); limit > 0 {
		patience = min(patience, limit)
	}
	return admission.Request{Arrived: j.request.Arrived, Goal: j.route.Goal, Patience: patience, Rank: j.rank}
}

// engineRank returns the urgency of the request at an engine, which has to prefill the prompt unless that was done before.
func (j *job) engineRank(e *roster.Endpoint, prefilled bool) int {
	r := j.admissionRequest()
	if !j.service.Contended {
		return min(r.Rank, maxEngineRank)
	}
	expected := time.Duration(0)
	if !prefilled {
		expected = j.prefillEstimate(e)
	}
	return r.EngineRank(j.relay.clock.Now(), expected)
}

// maxEngineRank is the least urgent rank at an engine.
const maxEngineRank = 9

// chooseOverflow returns the decode engine that should prefill a long prompt itself because the prefill engine e has too much to do, or nil.
func (j *job) chooseOverflow(e *roster.Endpoint) *roster.Endpoint {
	if !j.service.Contended {
		return nil
	}
	d := j.chooseDecode()
	if d == nil {
		return nil
	}
	r := j.admissionRequest()
	if !r.Overflows(j.relay.clock.Now(), j.prefillEstimate(e), j.prefillEstimate(d)) {
		return nil
	}
	return d
}

// overloaded reports whether the first send of the request would be in vain, as no engine is expected to prefill the prompt before the caller
// gives up: e is the best one. It then sets when the caller should return.
func (j *job) overloaded(e *roster.Endpoint) bool {
	if !j.service.Contended || j.sent > 0 || j.possibleRuns > 0 || j.lastEvent != "" {
		return false
	}
	p := &j.request.Prompt
	now := j.relay.clock.Now()
	expected := placement.PrefillTime(e, p, now)
	r := j.admissionRequest()
	after, hopeless := r.Hopeless(now, expected, placement.QueueTime(e, now))
	if hopeless {
		j.refusedFor = overloadReason
		j.returnAfter = after + time.Duration(rand.Float64()*returnSpread*float64(after))
	}
	return hopeless
}

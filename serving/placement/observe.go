package placement

import (
	"time"

	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
)

const (
	// minObservedTokens is the least number of tokens of a prefill from which an engine's speed is learned. Below it, the latency of the
	// network counts too much.
	minObservedTokens = 1000
	// sameDomainMillis is the latency that is taken off the duration of a prefill in the instance's failure domain.
	sameDomainMillis = 1.0
)

// ObservePrefill learns the speed of a prefill engine from a prefill that an instance in a failure domain saw: the tokens that were queued
// before it and those that it had to read, both as estimated when it was sent, and how long it took. Prefills for which more was queued
// than half of their own tokens are ignored, as that estimate is old; what was queued unseen only makes an engine look slower. It returns the sample as a multiple
// of the nominal speed, or 0 if there is none, and whether the engine's speed has changed by it.
func ObservePrefill(e *roster.Endpoint, queued, unread int, took time.Duration, near wire.DomainName, now time.Time) (factor float64, changed bool) {
	if unread < minObservedTokens || queued > unread/2 {
		return 0, false
	}
	latency := sameDomainMillis
	if near != "" && e.Entry().Domain != near {
		latency = crossDomainMillis
	}
	millis := took.Seconds()*1000 - latency
	if millis <= 0 {
		return 0, false
	}
	factor = float64(queued+unread) / (prefillRate * millis)
	return factor, e.ObserveSpeed(factor, now)
}

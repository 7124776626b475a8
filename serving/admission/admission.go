// Package admission decides about requests for contended services by the time at which their prompts are expected to be prefilled: whether a
// request is sent or refused, how urgent it is at the engine, and whether a decode engine prefills a long prompt because the prefill engines
// have too much to do. It uses no network, keeps no state and takes the time as a parameter.
package admission

import "time"

const (
	// hopelessTenths is the part of the caller's patience, in tenths, after which a prompt has to be prefilled at the latest. The rest is for
	// the decode engine and for the error of the estimate: load reports are up to half a second old.
	hopelessTenths = 7
	// returnTenths is the part of the caller's patience that the expected wait may take, in tenths, when a refused caller returns.
	returnTenths = 3
	// minReturn and maxReturn bound the time after which a refused caller should return.
	minReturn = 250 * time.Millisecond
	maxReturn = 10 * time.Second
	// urgentTenths is the part of the objective, in tenths, within which a prompt has to be prefilled to meet it.
	urgentTenths = 9
	// overflowGain is how much sooner a decode engine has to prefill a long prompt than a prefill engine. A prefill at a decode engine delays
	// the tokens of its running streams, so it has to be worth more than the error of the estimates.
	overflowGain = 100 * time.Millisecond
)

const (
	// maxRank is the least urgent rank at an engine; 0 is the most urgent.
	maxRank = 9
	// ranksPerClass is how many ranks at an engine each rank of a route or workspace takes: one for requests in time, one for late ones.
	ranksPerClass = 2
)

// Request is what the decisions need to know of a request.
type Request struct {
	Arrived time.Time
	// Goal is the latency objective of the first event; 0 means that there is none.
	Goal time.Duration
	// Patience is how long the caller waits for the first event, counted from Arrived.
	Patience time.Duration
	// Rank is the urgency; 0 is the most urgent.
	Rank int
}

// Hopeless reports whether a prompt that is expected to be prefilled after a time, of which wait is spent on other prompts, would be too
// late for the caller, and after which time the caller should return then. A prompt that is too long even for an idle engine is not hopeless:
// its caller would not fare better later.
func (r *Request) Hopeless(now time.Time, expected, wait time.Duration) (returnAfter time.Duration, hopeless bool) {
	if wait <= r.Patience/10 || now.Add(expected).Sub(r.Arrived) <= r.Patience*hopelessTenths/10 {
		return 0, false
	}
	return min(max(wait-r.Patience*returnTenths/10, minReturn), maxReturn), true
}

// EngineRank returns the urgency at an engine that is expected to have prefilled the prompt after a time. Among requests of equal rank those
// that can still meet their objective go first: under a backlog all would be late together otherwise. The order of the ranks is kept.
func (r *Request) EngineRank(now time.Time, expected time.Duration) int {
	rank := ranksPerClass * min(r.Rank, maxRank)
	if r.Goal > 0 && now.Add(expected).Sub(r.Arrived) > r.Goal*urgentTenths/10 {
		rank++
	}
	return min(rank, maxRank)
}

// Overflows reports whether a decode engine should prefill a long prompt itself, given when it and the best prefill engine are expected to
// have prefilled it. It does so only if the request then meets its objective, which bounds what the decode engines take over.
func (r *Request) Overflows(now time.Time, prefill, decode time.Duration) bool {
	return decode+overflowGain < prefill && now.Add(decode).Sub(r.Arrived) < r.Goal
}

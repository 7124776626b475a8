package relay

import (
	"time"

	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/serving/route"
)

// Bounds of the random time that is added to the Retry-After of requests that are refused because all endpoints asked for pauses: half of
// the time until the first of them returns, within these bounds. The first request then probes the endpoint, and the others follow.
const (
	minReturnSpread = 250 * time.Millisecond
	maxReturnSpread = 2 * time.Second
)

// firstReturn returns how long it takes until the first endpoint that can answer the request returns from the pause that it asked for. It is
// 0 if there is no such endpoint, or one that has not asked for a pause.
func (j *job) firstReturn() time.Duration {
	stage := roster.NoStage
	if j.service.Engine != nil {
		stage = roster.Decode
	}
	now := j.relay.clock.Now()
	first := time.Duration(0)
	for _, e := range j.relay.directory.View().Service(j.service.Name) {
		entry := e.Entry()
		if entry.Stage != stage || e.Leaving() || entry.Spot && j.route.Kind == route.Once {
			continue
		}
		until, paused := e.PauseRequested(now)
		if !paused {
			return 0
		}
		if d := until.Sub(now); first == 0 || d < first {
			first = d
		}
	}
	return first
}

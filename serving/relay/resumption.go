package relay

import (
	"errors"

	"cowslipshunt.example/serving/roster"
)

// errNoStream is the error of an exchange that was to resume a stream and has another answer.
var errNoStream = errors.New("the answer to a resumption is no stream")

// rejectResumption records that an endpoint has answered the resumption of a stream with something else than a stream. Nothing of that answer
// may reach the client; another endpoint may go on.
func (j *job) rejectResumption(e *roster.Endpoint, a *Answer) {
	j.exchange.end(j.relay.clock.Now(), errNoStream)
	j.excluded = append(j.excluded, e.Entry().ID)
	j.observe("Retried", e, a.Status, "the endpoint answered the resumption with something else than a stream; trying another endpoint", nil)
}

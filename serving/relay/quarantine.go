package relay

import (
	"errors"
	"io"
	"syscall"
	"time"
)

// quarantineReason is why a request is refused whose prompt is in quarantine.
const quarantineReason = "the prompt may have a part that crashes endpoints"

// streamStart is how long after its first event a stream counts as just begun. A prompt part that crashes endpoints does so as they begin to
// answer, and some events may arrive before the connection ends.
const streamStart = 300 * time.Millisecond

// withheld reports whether the request must not be sent because its prompt is in quarantine or has just broken off as others did. It is called
// before each send.
func (j *job) withheld() bool {
	if j.suspected {
		return true
	}
	retryAfter, admitted := j.relay.quarantine.Admit(j.request.ID, &j.request.Prompt)
	if admitted {
		return false
	}
	j.returnAfter = retryAfter
	return true
}

// recordCrash records that a send broke off before the endpoint had answered or when its answer had just begun. The prompt may have crashed
// the endpoint. A stream that went on for longer is no evidence, whatever ended it.
func (j *job) recordCrash(x *exchange, err error) {
	if isBreakOff(err) && x.justBegun(j.relay.clock.Now(), streamStart) {
		j.suspected = j.relay.quarantine.Crashed(x.endpoint.Entry().Key, &j.request.Prompt, x.began)
	}
}

// isBreakOff reports whether a connection was closed or reset by the endpoint. A context that has ended and a connection that timed out
// give other errors.
func isBreakOff(err error) bool {
	for _, target := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

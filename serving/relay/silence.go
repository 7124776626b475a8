package relay

import (
	"context"
	"errors"
	"time"

	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/serving/route"
	"github.com/jonboulle/clockwork"
)

// Bounds of an endpoint's silence after which a request goes elsewhere, if it may.
const (
	// goalsOfSilence is how many of its route's goals a repeatable request waits for the first sign of an answer.
	goalsOfSilence = 2
	// estimatesOfSilence and leastSilence bound the wait for a prefill, which does not run the request: three times the expected
	// time, but not less than 800 ms.
	estimatesOfSilence = 3
	leastSilence       = 800 * time.Millisecond
	// pausesOfSilence is how many of its route's longest pauses a stream that may go on elsewhere waits for the next event. It is
	// below the time after which clients leave a stream.
	pausesOfSilence = 6
)

// errSilent ends a send to an endpoint that gave no sign of an answer for too long.
var errSilent = errors.New("the endpoint is silent")

// watch is a send that is ended when its endpoint is silent for too long.
type watch struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  clockwork.Timer
}

// newWatch begins a watch; a limit of 0 is none.
func newWatch(ctx context.Context, clock clockwork.Clock, limit time.Duration) *watch {
	w := &watch{}
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	if limit > 0 {
		w.timer = clock.AfterFunc(limit, func() { w.cancel(errSilent) })
	}
	return w
}

// heard ends the watch for silence: the endpoint has answered.
func (w *watch) heard() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// heardEvent begins the wait for the next event of a stream, if silence is watched.
func (w *watch) heardEvent(limit time.Duration) {
	w.heard()
	if w.timer != nil && limit > 0 {
		w.timer.Reset(limit)
	}
}

// end ends the send.
func (w *watch) end() {
	w.heard()
	w.cancel(nil)
}

// silenceLimit is how long a request waits for the first sign of an answer of an endpoint. It is 0 if the request may not
// run elsewhere: then silence is no reason to end it.
func (j *job) silenceLimit(e *roster.Endpoint) time.Duration {
	if !j.route.Repeatable() || j.runs+1 >= j.route.MaxAttempts || j.route.Goal <= 0 || !j.another(e) {
		return 0
	}
	limit := goalsOfSilence * j.route.Goal
	if j.route.Kind == route.Stream && j.source == nil {
		limit += j.estimate(e)
	}
	return limit
}

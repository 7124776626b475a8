package relay

import (
	"context"
	"errors"
	"time"

	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/serving/route"
	"github.com/jonboulle/clockwork"
)

// Bounds of the time without data from an endpoint after which the send is cancelled.
const (
	// responseTimeoutGoals bounds the wait of a repeatable request for the head of an answer, or for the first event of a stream. It
	// is a multiple of the Goal of the request's route.
	responseTimeoutGoals = 2
	// prefillTimeoutEstimates and minPrefillTimeout bound the wait for a separate prefill, which does not run the request: three
	// times the estimated time, but not less than 800 ms.
	prefillTimeoutEstimates = 3
	minPrefillTimeout       = 800 * time.Millisecond
	// eventTimeoutPauses bounds the wait of a stream that may be resumed at another endpoint for its next event. It is a multiple of
	// the MaxPause of the stream's route. The product is below the time after which clients abandon a stream.
	eventTimeoutPauses = 6
)

// errNoData is the cause of a send that the watchdog cancelled.
var errNoData = errors.New("the endpoint sent no data within the time limit")

// watchdog cancels a send if its endpoint sends no data for too long.
type watchdog struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  clockwork.Timer
}

// newWatchdog starts a watchdog whose context is that of the send. With a limit of 0 it never cancels the send by itself.
func newWatchdog(ctx context.Context, clock clockwork.Clock, limit time.Duration) *watchdog {
	w := &watchdog{}
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	if limit > 0 {
		w.timer = clock.AfterFunc(limit, func() { w.cancel(errNoData) })
	}
	return w
}

// stop stops the timer without cancelling the send.
func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// reset restarts the timer for the next event of a stream. It stays stopped if the limit is 0 or the watchdog was started without
// one.
func (w *watchdog) reset(limit time.Duration) {
	w.stop()
	if w.timer != nil && limit > 0 {
		w.timer.Reset(limit)
	}
}

// close stops the timer and cancels the context of the send.
func (w *watchdog) close() {
	w.stop()
	w.cancel(nil)
}

// responseTimeout returns how long to wait for the head of an endpoint's answer, or for the first event of a stream. For a
// stream whose prompt the endpoint prefills itself, this includes the estimated prefill time. It is 0, no limit, if the route has
// no goal or the request cannot be repeated at another endpoint: cancelling it would then gain nothing.
func (j *job) responseTimeout(e *roster.Endpoint) time.Duration {
	if !j.route.Repeatable() || j.possibleRuns+1 >= j.route.MaxAttempts || j.route.Goal <= 0 || !j.canRetryElsewhere(e) {
		return 0
	}
	limit := responseTimeoutGoals * j.route.Goal
	if j.route.Kind == route.Stream && j.source == nil {
		limit += j.prefillEstimate(e)
	}
	return limit
}

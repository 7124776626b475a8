package relay

import (
	"context"
	"errors"
	"fmt"
	"sync"
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
	clock  clockwork.Clock

	mu sync.Mutex
	// timer is nil if the watchdog never cancels the send by itself.
	timer clockwork.Timer
	// limit is the time without data. While the watchdog runs, it ends at expiry; while it is paused, left is what remains of it.
	limit, left time.Duration
	expiry      time.Time
	running     bool
	// mayCancel reports whether the send may be cancelled at the end of limit; nil allows it. If it does not, the limit starts anew.
	mayCancel func() bool
}

// newWatchdog starts a watchdog whose context is that of the send. With a limit of 0 it never cancels the send by itself. At the end of the
// limit the send is cancelled if mayCancel allows it.
func newWatchdog(ctx context.Context, clock clockwork.Clock, limit time.Duration, mayCancel func() bool) *watchdog {
	w := &watchdog{clock: clock, limit: limit, mayCancel: mayCancel}
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	if limit > 0 {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.expiry, w.running = clock.Now().Add(limit), true
		w.timer = clock.AfterFunc(limit, w.expire)
	}
	return w
}

// expire cancels the send unless the limit has started anew or the send may not be cancelled.
func (w *watchdog) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.running || w.clock.Now().Before(w.expiry) {
		return
	}
	if w.mayCancel != nil && !w.mayCancel() {
		w.start(w.limit)
		return
	}
	w.cancel(errNoData)
}

// start lets the watchdog run until a limit ends. The caller must hold the lock.
func (w *watchdog) start(limit time.Duration) {
	w.running, w.expiry = true, w.clock.Now().Add(limit)
	w.timer.Reset(limit)
}

// pause stops the limit while the endpoint is not waited for. Once it has returned, mayCancel is not called.
func (w *watchdog) pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.running {
		return
	}
	w.running = false
	w.timer.Stop()
	w.left = max(w.expiry.Sub(w.clock.Now()), minRest)
}

// minRest is the least that remains of a limit after a pause.
const minRest = time.Millisecond

// reset sets the limit for the next event of a stream, from the next resume on. It has no effect if the limit is 0 or the watchdog was
// started without one.
func (w *watchdog) reset(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if limit > 0 {
		w.limit, w.left = limit, limit
	}
}

// resume lets the limit go on, at whose end the send is cancelled if mayCancel allows it.
func (w *watchdog) resume(mayCancel func() bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil && !w.running {
		w.mayCancel = mayCancel
		w.start(w.left)
	}
}

// close ends the limit and cancels the context of the send.
func (w *watchdog) close() {
	w.pause()
	w.cancel(nil)
}

// explain returns err, the failure of the send, with errNoData if the watchdog caused it: the send itself reports only that its connection
// was closed.
func (w *watchdog) explain(err error) error {
	if err == nil || !errors.Is(context.Cause(w.ctx), errNoData) {
		return err
	}
	return fmt.Errorf("%w: %w", errNoData, err)
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

// mayMove returns a function that reports whether a request may be taken from endpoint e, which has been silent for too long: another
// endpoint has to be open, and the send there is taken from the retry budget at once. Otherwise the request would be lost although e may go
// on with it. An endpoint is silent for all of its requests at the same time, so asking whether the budget allows a send is not enough. The
// function must not be called once the request has left e.
func (j *job) mayMove(e *roster.Endpoint) func() bool {
	return func() bool {
		if j.sequence.unnumbered {
			j.observeWait(e, "the endpoint is silent, and the last event has no id to resume the stream from")
			return false
		}
		if j.relay.quarantine.Holds(&j.request.Prompt) {
			j.observeWait(e, "the endpoint is silent, and "+quarantineReason)
			return false
		}
		if len(j.endpoints(j.needElsewhere(e))) == 0 {
			j.observeWait(e, "the endpoint is silent, and no other endpoint is open")
			return false
		}
		if !j.budget.TakeRetry(j.relay.clock.Now()) {
			j.observeWait(e, "the endpoint is silent, and "+budgetReason)
			return false
		}
		j.sendIsPaid = true
		return true
	}
}

// observeWait passes on the decision to wait longer for a silent endpoint.
func (j *job) observeWait(e *roster.Endpoint, reason string) {
	d := j.decision("Waited", reason, nil)
	d.Endpoint = e.Entry().ID
	j.relay.observer.Decided(d)
}

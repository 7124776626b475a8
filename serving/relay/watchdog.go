package relay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"cowslipshunt.example/serving/route"
	"github.com/jonboulle/clockwork"
)

// Bounds of the time without data from an endpoint after which another endpoint is asked.
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

// errNoData is the cause of a send that was given up because its endpoint was silent.
var errNoData = errors.New("the endpoint sent no data within the time limit")

// watchdog notices that an endpoint has sent no data for too long. Its methods are called with mu locked.
type watchdog struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	clock  clockwork.Clock
	// mu is the lock of the job.
	mu *sync.Mutex
	// expired is called, with mu locked and in a goroutine of its own, at the end of limit.
	expired func()
	// timer is nil before the first start.
	timer clockwork.Timer
	// limit is the time without data, 0 for none. While the watchdog runs, it ends at expiry; while it is paused, left is what remains of it.
	limit, left time.Duration
	expiry      time.Time
	running     bool
}

// newWatchdog returns a watchdog without a limit, whose context is that of the send.
func newWatchdog(ctx context.Context, clock clockwork.Clock, mu *sync.Mutex) *watchdog {
	w := &watchdog{clock: clock, mu: mu}
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	return w
}

// setLimit sets the time without data after which expired is called; 0 sets none.
func (w *watchdog) setLimit(limit time.Duration) {
	w.limit, w.left = limit, limit
}

// restart sets another limit if there is one, as data has arrived.
func (w *watchdog) restart(limit time.Duration) {
	if w.limit > 0 && limit > 0 {
		w.setLimit(limit)
	}
}

// expire calls expired unless the limit has started anew or is paused.
func (w *watchdog) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.running || w.clock.Now().Before(w.expiry) {
		return
	}
	w.running, w.left = false, w.limit
	w.expired()
}

// resume lets the limit go on.
func (w *watchdog) resume() {
	if w.limit <= 0 || w.running {
		return
	}
	w.running, w.expiry = true, w.clock.Now().Add(w.left)
	if w.timer == nil {
		w.timer = w.clock.AfterFunc(w.left, w.expire)
		return
	}
	w.timer.Reset(w.left)
}

// pause stops the limit while the endpoint is not waited for.
func (w *watchdog) pause() {
	if !w.running {
		return
	}
	w.running = false
	w.timer.Stop()
	w.left = max(w.expiry.Sub(w.clock.Now()), minRest)
}

// minRest is the least that remains of a limit after a pause.
const minRest = time.Millisecond

// close ends the limit and cancels the context of the send.
func (w *watchdog) close() {
	w.pause()
	w.limit = 0
	w.cancel(nil)
}

// explain returns err, the failure of the send, with errNoData if the send was given up for that: the send itself reports only that its
// connection was closed.
func (w *watchdog) explain(err error) error {
	if err == nil || errors.Is(err, errNoData) || !errors.Is(context.Cause(w.ctx), errNoData) {
		return err
	}
	return fmt.Errorf("%w: %w", errNoData, err)
}

// responseTimeout returns how long to wait for the head of an endpoint's answer, or for the first event of a stream, before another endpoint
// is asked, given how often the request may have run, with this send. For a stream whose prompt the endpoint prefills itself, this includes
// the estimated prefill time. It is 0, no limit, if the route has no goal or no attempt is left.
func (j *job) responseTimeout(s *send, runs int) time.Duration {
	if !j.route.Repeatable() || runs >= j.route.MaxAttempts || j.route.Goal <= 0 {
		return 0
	}
	limit := responseTimeoutGoals * j.route.Goal
	if j.route.Kind == route.Stream && s.attempt.Source == nil {
		limit += j.prefillEstimate(s.endpoint)
	}
	return limit
}

package main

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/serving/catchup"
	"cowslipshunt.example/serving/membership"
	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
)

// peerLagMargin is how much longer than the delay of batches an instance may be behind its peers before it reads a table again: the
// time that a peer's report may take.
const peerLagMargin = 250 * time.Millisecond

// follower keeps a copy of one table of the store up to date. It reads the whole table first and then follows the feed of changes.
type follower struct {
	store  *platform.Store
	table  string
	logger *log.Logger
	// apply is called with the changed rows, or with all rows if full is set.
	apply func(rows []platform.Row, full bool)
	// onLost is called when the store stops answering, onRegained when it answers again.
	onLost, onRegained func()
	// liveInstances counts the live instances, this one included.
	liveInstances func() int
	// lag compares the version that f has applied with those of the peers.
	lag *catchup.Lag

	mu sync.Mutex
	// cancelFeed ends the open feed call; nil while none is open.
	cancelFeed context.CancelCauseFunc

	// version is the store's version up to which changes were applied.
	version int
	// synced is set while the feed can continue from version. Otherwise the next step reads the whole table.
	synced bool
	// storeLost is set from a failed call until the next answer.
	storeLost bool
	// gotChanges is set if the last step applied rows from the feed.
	gotChanges bool
}

// newFollower returns a follower of a table that calls apply, and onLost and onRegained as the store stops and starts answering.
func newFollower(store *platform.Store, table string, apply func(rows []platform.Row, full bool), onLost, onRegained func(), liveInstances func() int, logger *log.Logger) *follower {
	f := &follower{
		store: store, table: table, logger: logger, apply: apply, onLost: onLost, onRegained: onRegained,
		liveInstances: liveInstances,
	}
	tolerance := func() time.Duration { return membership.BatchDelay(liveInstances()) + peerLagMargin }
	f.lag = catchup.NewLag(clockwork.NewRealClock(), tolerance, func(catchup.Version) { f.interrupt("a peer has applied a newer version") })
	return f
}

// interrupt ends an open feed call, which the store may never answer, and makes f read the whole table instead. It has no effect
// while no feed call is open.
func (f *follower) interrupt(reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelFeed != nil {
		f.cancelFeed(&feedInterruptedError{Reason: reason})
	}
}

func (f *follower) setCancelFeed(cancel context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelFeed = cancel
}

// run follows the table until ctx ends.
func (f *follower) run(ctx context.Context) {
	backoff := membership.InitialBackoff
	for ctx.Err() == nil {
		began := time.Now()
		var err error
		if panicErr := protect(f.logger, "table "+f.table, func() { err = f.step(ctx) }); panicErr != nil {
			err = panicErr
		}
		if err == nil {
			backoff = membership.InitialBackoff
			f.waitForBatch(ctx)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		// The next call reads the whole table: a read times out sooner than a feed, which the store may hold open for a
		// long time.
		f.synced = false
		if f.logReread(err) {
			continue
		}
		f.noteFailure(err)
		maxBackoff := membership.MaxBackoff(f.liveInstances(), time.Since(began))
		select {
		case <-ctx.Done():
		case <-time.After(min(backoff, maxBackoff)):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// logReread logs an error after which the table is read again at once, and reports whether err is one.
func (f *follower) logReread(err error) bool {
	var history *platform.HistoryLostError
	if errors.As(err, &history) {
		f.logger.Warn().Str("Table", f.table).Int("After", f.version).Msg("HistoryLost")
		return true
	}
	var interrupted *feedInterruptedError
	if errors.As(err, &interrupted) {
		metrics.GetOrCreateCounter(`router_feeds_interrupted_total{table="` + f.table + `"}`).Inc()
		f.logger.Warn().Str("Table", f.table).Int("After", f.version).Int("Claimed", int(f.lag.Claimed())).
			Str("Reason", interrupted.Reason).Msg("FeedInterrupted")
		return true
	}
	return false
}

// waitForBatch delays the next feed call if the last one returned changes, so that the next returns several changes at once.
func (f *follower) waitForBatch(ctx context.Context) {
	if !f.gotChanges {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(membership.BatchDelay(f.liveInstances())):
	}
}

// step makes one call to the store: it waits for changes after the last version, or reads the whole table if f is not synced.
func (f *follower) step(ctx context.Context) error {
	if f.synced {
		return f.followFeed(ctx)
	}
	claimed := f.lag.Claimed()
	all, err := f.store.ReadAll(ctx, f.table, "", "")
	if err != nil {
		return err
	}
	f.noteSuccess()
	f.apply(all.Rows, true)
	f.version, f.synced, f.gotChanges = all.Version, true, false
	if !f.lag.Reread(catchup.Version(all.Version), lastChange(all.Rows), claimed) {
		f.logger.Warn().Str("Table", f.table).Int("Version", all.Version).Int("Claimed", int(claimed)).Msg("PeerVersionIgnored")
	}
	return nil
}

// followFeed waits for changes after the last version. It returns a *feedInterruptedError if interrupt is called meanwhile.
func (f *follower) followFeed(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.setCancelFeed(cancel)
	defer f.setCancelFeed(nil)
	changes, err := f.store.Feed(ctx, f.table, f.version, membership.FeedWait(f.liveInstances()))
	if err != nil {
		return cmp.Or(interruption(ctx), err)
	}
	f.noteSuccess()
	f.apply(changes.Rows, false)
	f.version = max(f.version, changes.Version)
	f.gotChanges = len(changes.Rows) > 0
	f.lag.Applied(catchup.Version(f.version), lastChange(changes.Rows))
	return nil
}

// feedInterruptedError is the error of a feed call that was ended before the store answered.
type feedInterruptedError struct {
	Reason string
}

// Error names the reason.
func (e *feedInterruptedError) Error() string {
	return "the feed was interrupted: " + e.Reason
}

// interruption returns the *feedInterruptedError that ended a context, or nil.
func interruption(ctx context.Context) error {
	if interrupted, ok := context.Cause(ctx).(*feedInterruptedError); ok {
		return interrupted
	}
	return nil
}

// lastChange returns the highest version of the rows, 0 if there are none.
func lastChange(rows []platform.Row) catchup.Version {
	last := 0
	for _, r := range rows {
		last = max(last, r.Version)
	}
	return catchup.Version(last)
}

// noteFailure logs and counts the loss of the store at the first of several failed calls.
func (f *follower) noteFailure(err error) {
	if f.storeLost {
		return
	}
	f.storeLost = true
	metrics.GetOrCreateCounter(`router_store_lost_total{table="` + f.table + `"}`).Inc()
	f.logger.Warn().Str("Dependency", "Store").Str("Table", f.table).Int("After", f.version).Err(err).Msg("DependencyLost")
	f.onLost()
}

// noteSuccess logs the return of the store at the first answer after a failed call.
func (f *follower) noteSuccess() {
	if !f.storeLost {
		return
	}
	f.storeLost = false
	f.logger.Info().Str("Dependency", "Store").Str("Table", f.table).Int("After", f.version).Msg("DependencyRegained")
	f.onRegained()
}

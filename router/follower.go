package main

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/serving/membership"
	"cowslipshunt.example/serving/replication"
	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
)

// peerLagMargin is how much longer than the delay of batches an instance may be behind its peers before it reads a table again: the
// time that a peer's report may take.
const peerLagMargin = 250 * time.Millisecond

// follower keeps a copy of one table of the store up to date. It reads the whole table first and then follows the feed of changes, or,
// as a receiver, the updates of the readers in its failure domain.
type follower struct {
	store  *platform.Store
	table  string
	logger *log.Logger
	// apply is called with the changed rows, or with all rows if full is set. It returns the changes that readers pass on.
	apply func(rows []platform.Row, full bool) []replication.Change
	// applyChanges is called with the changes of an update. It is nil if updates of the table have no changes.
	applyChanges func(changes []replication.Change)
	// onLost is called when the store stops answering, onRegained when it answers again.
	onLost, onRegained func()
	// liveInstances counts the live instances, this one included.
	liveInstances func() int
	// replicas are the other instances that keep a copy of the table.
	replicas replicas
	// lag compares the version that f has applied with those of the peers.
	lag *replication.Lag
	// wake ends a receiver's wait for updates.
	wake chan struct{}
	// started is when f was made. The number of instances is not known at first.
	started time.Time

	// storeLost is set from a failed call until the next answer or update.
	storeLost atomic.Bool
	// lastRole is the role that was logged last.
	lastRole replication.Role
	// gotChanges is set if the last step applied rows from the feed.
	gotChanges bool

	mu sync.Mutex
	// cancelFeed ends the open feed call; nil while none is open.
	cancelFeed context.CancelCauseFunc
	// version is the store's version up to which changes were applied, 0 before the table was read.
	version int
	// answered is the highest version of an answer of the store. That of the copy may be above it, from an update.
	answered int
	// updateRejected is when a rejected update was logged last.
	updateRejected time.Time
	// synced is set while the feed can continue from version. Otherwise the next step reads the whole table.
	synced bool
	log    *replication.Log
	inbox  *replication.Inbox
}

// newFollower returns a follower of a table. Updates that it passes on have at most maxChanges changes.
func newFollower(store *platform.Store, table string, maxChanges int, liveInstances func() int, r replicas, logger *log.Logger) *follower {
	f := &follower{
		store: store, table: table, logger: logger, onLost: func() {}, onRegained: func() {},
		liveInstances: liveInstances, replicas: r, wake: make(chan struct{}, 1), started: time.Now(),
		log: replication.NewLog(table, maxChanges), inbox: replication.NewInbox(bootClock{}.Monotonic, r.maxSilence),
	}
	tolerance := func() time.Duration { return membership.BatchDelay(liveInstances()) + peerLagMargin }
	f.lag = replication.NewLag(clockwork.NewRealClock(), tolerance, func(replication.Version) { f.interrupt("a peer has applied a newer version") })
	return f
}

// interrupt makes f ask the store instead of waiting for a feed call that the store may never answer, or for an update.
func (f *follower) interrupt(reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inbox.Invalidate()
	f.wakeUp()
	if f.cancelFeed != nil {
		f.cancelFeed(&feedInterruptedError{Reason: reason})
	}
}

// wakeUp ends a receiver's wait for updates.
func (f *follower) wakeUp() {
	select {
	case f.wake <- struct{}{}:
	default:
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
		if f.waitForUpdates(ctx) {
			continue
		}
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
		f.setSynced(false)
		if f.logReread(err) {
			continue
		}
		f.noteFailure(err)
		maxBackoff := f.maxBackoff(time.Since(began))
		f.backOff(ctx, min(backoff, maxBackoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// maxBackoff returns the longest back-off after a failed call that took the given time. That of a receiver is longer: the updates of the
// readers end it.
func (f *follower) maxBackoff(took time.Duration) time.Duration {
	if f.replicas.role() == replication.Receiver {
		return f.replicas.maxSilence
	}
	return membership.MaxBackoff(f.liveInstances(), took)
}

// backOff waits for a duration, or until an update shows that the store answers the readers.
func (f *follower) backOff(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-f.wake:
	case <-time.After(d):
	}
}

func (f *follower) setSynced(synced bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.synced = synced
}

// position returns the version from which the feed can continue, and whether it can.
func (f *follower) position() (version int, synced bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version, f.synced
}

// beginRead returns what position does, for a call to the store that is about to be made.
func (f *follower) beginRead() (version int, synced bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inbox.BeginRead()
	return f.version, f.synced
}

// logReread logs an error after which the table is read again at once, and reports whether err is one.
func (f *follower) logReread(err error) bool {
	version, _ := f.position()
	var history *platform.HistoryLostError
	if errors.As(err, &history) {
		f.logger.Warn().Str("Table", f.table).Int("After", version).Msg("HistoryLost")
		return true
	}
	var interrupted *feedInterruptedError
	if errors.As(err, &interrupted) {
		metrics.GetOrCreateCounter(`router_feeds_interrupted_total{table="` + f.table + `"}`).Inc()
		f.logger.Warn().Str("Table", f.table).Int("After", version).Int("Claimed", int(f.lag.Claimed())).
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
	delay := membership.BatchDelay(f.liveInstances())
	if time.Since(f.started) < membership.SettleTime {
		delay = membership.MaxBatchDelay
	}
	if f.replicas.role() == replication.Reader {
		delay = min(delay, readerBatchDelay)
	}
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
}

// noteFailure logs and counts the loss of the store at the first of several failed calls.
func (f *follower) noteFailure(err error) {
	if f.storeLost.Swap(true) {
		return
	}
	metrics.GetOrCreateCounter(`router_store_lost_total{table="` + f.table + `"}`).Inc()
	version, _ := f.position()
	f.logger.Warn().Str("Dependency", "Store").Str("Table", f.table).Int("After", version).Err(err).Msg("DependencyLost")
	f.onLost()
}

// noteSuccess logs the return of the store at the first answer after a failed call.
func (f *follower) noteSuccess() {
	if !f.storeLost.Swap(false) {
		return
	}
	version, _ := f.position()
	f.logger.Info().Str("Dependency", "Store").Str("Table", f.table).Int("After", version).Msg("DependencyRegained")
	f.onRegained()
}

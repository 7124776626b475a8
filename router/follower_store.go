package main

import (
	"cmp"
	"context"
	"fmt"
	"net/http/httptrace"
	"slices"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/serving/membership"
	"cowslipshunt.example/serving/replication"
)

// step makes one call to the store: it waits for changes after the last version, or reads the whole table if f is not synced.
func (f *follower) step(ctx context.Context) error {
	version, synced := f.beginRead()
	if synced {
		return f.followFeed(ctx, version)
	}
	claimed := f.lag.Claimed()
	all, err := f.store.ReadAll(ctx, f.table, "", "")
	if err != nil {
		return err
	}
	f.noteSuccess()
	f.gotChanges = false
	unchanged := f.applyAll(all, version)
	if f.replicas.role() == replication.Reader {
		f.replicas.send([]replication.Update{unchanged})
	}
	if !f.lag.Reread(replication.Version(all.Version), lastChange(all.Rows), claimed) {
		f.logger.Warn().Str("Table", f.table).Int("Version", all.Version).Int("Claimed", int(claimed)).Msg("PeerVersionIgnored")
	}
	return nil
}

// applyAll applies the whole table, unless an update has brought the copy to a newer version since before the table was read. It returns
// the update with which a reader shows that the store answers.
func (f *follower) applyAll(all platform.Rows, before int) replication.Update {
	f.mu.Lock()
	defer f.mu.Unlock()
	if before > all.Version && f.answered <= all.Version {
		f.dropVersion(all)
	}
	f.answered = max(f.answered, all.Version)
	f.synced = true
	f.inbox.EndRead(replication.Version(max(all.Version, f.version)))
	if all.Version >= f.version {
		f.apply(all.Rows, true)
		f.version = all.Version
		f.log.Reset(replication.Version(all.Version))
	}
	return f.log.Unchanged()
}

// dropVersion drops the copy's version, which an update has set: the store's answers are linearizable, so it never had that version.
func (f *follower) dropVersion(all platform.Rows) {
	f.logger.Warn().Str("Table", f.table).Int("Version", all.Version).Int("Copy", f.version).Msg("UpdateVersionIgnored")
	f.lag.Withdraw(replication.Version(all.Version), lastChange(all.Rows))
	f.version = 0
}

// followFeed waits for changes after a version. It returns a *feedInterruptedError if interrupt is called before an answer begins: one that
// arrives is not given up, as the next would take as long.
func (f *follower) followFeed(ctx context.Context, after int) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.setCancelFeed(cancel)
	defer f.setCancelFeed(nil)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() { f.setCancelFeed(nil) }})
	role := f.replicas.role()
	wait := membership.FeedWait(f.liveInstances())
	if role == replication.Reader {
		wait = min(wait, replication.ReaderWait(f.replicas.maxSilence))
	}
	answer, err := f.store.Feed(ctx, f.table, after, wait)
	if err != nil {
		return cmp.Or(interruption(ctx), err)
	}
	if answer.Version < after && f.isUnconfirmed(after) {
		return &versionError{Table: f.table, Copy: after, Store: answer.Version}
	}
	f.noteSuccess()
	updates := f.applyFeed(answer)
	f.gotChanges = len(answer.Rows) > 0
	f.lag.Applied(replication.Version(answer.Version), lastChange(answer.Rows))
	if role == replication.Reader {
		f.replicas.send(updates)
	}
	return nil
}

// applyFeed applies the rows of an answer that are newer than the copy, and returns the updates that a reader passes on.
func (f *follower) applyFeed(answer platform.Rows) []replication.Update {
	f.mu.Lock()
	defer f.mu.Unlock()
	newer := slices.DeleteFunc(answer.Rows, func(r platform.Row) bool { return r.Version <= f.version })
	changes := f.apply(newer, false)
	f.version = max(f.version, answer.Version)
	f.answered = max(f.answered, answer.Version)
	f.inbox.EndRead(replication.Version(f.version))
	f.log.Append(replication.Version(f.version), changes)
	if len(changes) == 0 {
		return []replication.Update{f.log.Unchanged()}
	}
	return f.log.Latest()
}

// isUnconfirmed reports whether only updates, and no answer of the store, have had a version.
func (f *follower) isUnconfirmed(version int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return version > f.answered
}

// versionError reports that the store has not reached the version of a copy.
type versionError struct {
	Table       string
	Copy, Store int
}

// Error names the table and the versions.
func (e *versionError) Error() string {
	return fmt.Sprintf("the copy of table %s has version %d, the store only %d", e.Table, e.Copy, e.Store)
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
func lastChange(rows []platform.Row) replication.Version {
	last := 0
	for _, r := range rows {
		last = max(last, r.Version)
	}
	return replication.Version(last)
}

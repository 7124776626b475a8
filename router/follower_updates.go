package main

import (
	"context"
	"slices"
	"time"

	"cowslipshunt.example/serving/replication"
	"github.com/VictoriaMetrics/metrics"
)

const (
	// readerBatchDelay bounds the delay of a reader's next feed call after one with changes. It is short because there are few readers.
	readerBatchDelay = 250 * time.Millisecond
	// rejectedUpdateInterval is the shortest interval between log lines about rejected updates of a table.
	rejectedUpdateInterval = 10 * time.Second
	// maxUpdateChanges bounds the changes in an update, so that it fits into a datagram.
	maxUpdateChanges = 12
)

// replicas are the other instances that keep a copy of the same tables.
type replicas struct {
	// role returns what this instance does about a table at present.
	role func() replication.Role
	// send passes updates on to the other instances of this instance's failure domain.
	send func(updates []replication.Update)
	// maxSilence is how long an update vouches for a copy.
	maxSilence time.Duration
}

// noReplicas are those of an instance that always reads the store itself.
func noReplicas() replicas {
	return replicas{
		role: func() replication.Role { return replication.Alone },
		send: func([]replication.Update) {},
	}
}

// waitForUpdates waits while the updates of the readers keep the copy up to date. It returns false if the instance has to ask the store.
func (f *follower) waitForUpdates(ctx context.Context) bool {
	if f.noteRole() != replication.Receiver {
		return false
	}
	left := f.vouchedFor()
	if left <= 0 {
		return false
	}
	f.noteSuccess()
	select {
	case <-ctx.Done():
	case <-f.wake:
	case <-time.After(left):
	}
	return true
}

// noteRole returns the role of the instance and logs it if it has changed.
func (f *follower) noteRole() replication.Role {
	role := f.replicas.role()
	if role != f.lastRole {
		f.logger.Info().Str("Table", f.table).Str("Role", role.String()).Str("Before", f.lastRole.String()).
			Int("Alive", f.liveInstances()).Msg("Role")
		f.lastRole = role
	}
	return role
}

// vouchedFor returns for how long the last update vouches for the copy. If it does, the feed can continue from the copy's version.
func (f *follower) vouchedFor() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	left := f.inbox.Left()
	if f.version == 0 {
		return 0
	}
	if left > 0 {
		f.synced = true
	}
	return left
}

// receive applies an update of a reader. An update that cannot be applied vouches for nothing.
func (f *follower) receive(u *replication.Update) {
	if f.replicas.role() != replication.Receiver {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	own := replication.Version(f.version)
	if own == 0 {
		return
	}
	if err := u.Check(); err != nil {
		f.rejectUpdate(err)
		return
	}
	if own > u.Newest {
		// If no other update vouches for the copy, its version may be wrong, and the feed could not continue from it.
		f.synced = false
	}
	switch f.inbox.Receive(u, own) {
	case replication.Gap:
		f.wakeUp()
	case replication.Applicable:
		f.applyUpdate(u, own)
	}
}

// applyUpdate applies the changes of an update that are newer than the copy. If that panics, the copy counts as out of date.
func (f *follower) applyUpdate(u *replication.Update, own replication.Version) {
	applied := false
	defer func() {
		if !applied {
			f.inbox.Invalidate()
			f.wakeUp()
		}
	}()
	newer := slices.DeleteFunc(slices.Clone(u.Changes), func(c replication.Change) bool { return c.Version <= own })
	if len(newer) > 0 {
		f.applyChanges(newer)
		f.lag.Applied(u.Version, newer[len(newer)-1].Version)
	}
	f.lag.Applied(u.Version, 0)
	f.version = int(u.Version)
	f.log.Reset(u.Version)
	applied = true
}

// rejectUpdate counts an update that no reader may have sent, and logs it unless another was logged shortly before.
func (f *follower) rejectUpdate(err error) {
	metrics.GetOrCreateCounter(`router_updates_rejected_total{table="` + f.table + `"}`).Inc()
	if now := time.Now(); now.Sub(f.updateRejected) >= rejectedUpdateInterval {
		f.updateRejected = now
		f.logger.Warn().Str("Table", f.table).Int("Version", f.version).Err(err).Msg("UpdateRejected")
	}
}

package main

import (
	"context"
	"errors"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/serving/membership"
	"cowslipshunt.example/serving/metering"
	"cowslipshunt.example/serving/truetime"
	"cowslipshunt.example/shared/era"
	"github.com/phuslu/log"
)

// countRetention is how long after the end of a window its counts stay in memory. Counts that are not written stay longer.
const countRetention = 30 * time.Second

// baseSettle is how long a missing base of the agreed time is left to the instances that know it.
const baseSettle = 5 * time.Second

// usageWriter writes the usage counts of this incarnation to the store.
type usageWriter struct {
	store   *platform.Store
	clock   *truetime.Clock
	counter *metering.Counter
	writer  *metering.Writer
	// liveInstances counts the live instances, this one included.
	liveInstances func() int
	// handOver sends the copies of frozen windows to peers.
	handOver func()
	logger   *log.Logger

	// era is the era of the store in which the base of the agreed time is known to be stored, 0 before the first check in a later one.
	era era.Era
	// baseMissed is when this instance first found that a restored store has no base.
	baseMissed time.Time
}

// run writes the counts periodically until ctx ends, and once more then. Counts are written only once the clock
// has the agreed time. Between the writes, peers get copies of the counts.
func (u *usageWriter) run(ctx context.Context) {
	ticker := time.NewTicker(metering.CopyInterval)
	defer ticker.Stop()
	nextWrite := time.Now()
	for {
		now := time.Now()
		if now.Before(nextWrite) {
			_ = protect(u.logger, "usage", func() { u.copyToPeers(ctx) })
		} else {
			nextWrite = now.Add(membership.UsageWriteInterval(u.liveInstances()))
			_ = protect(u.logger, "usage", func() { u.write(ctx) })
		}
		select {
		case <-ctx.Done():
			u.close()
			return
		case <-ticker.C:
		}
	}
}

// write writes the counts, after obtaining the agreed time if that is still to be done.
func (u *usageWriter) write(ctx context.Context) {
	if !u.clock.Agreed() {
		if agreed, err := u.agree(ctx); err != nil || !agreed {
			u.logger.Warn().Err(err).Msg("TimeNotAgreed")
			return
		}
		u.logger.Info().Time("Now", u.clock.Now()).Msg("TimeAgreed")
	}
	u.restoreBase(ctx)
	writtenForPeers, err := u.writer.Step(ctx, u.clock.Now())
	u.logWritten(writtenForPeers, err)
	if err == nil {
		u.counter.Forget(u.clock.Now().Add(-countRetention))
	}
}

// agree obtains the agreed time. Of a store that was restored, a missing base may have been lost: the instances that know it have
// baseSettle to write it again before another one is proposed.
func (u *usageWriter) agree(ctx context.Context) (bool, error) {
	found, err := u.clock.Adopt(ctx, u.store)
	if found || err != nil {
		return found, err
	}
	if u.store.Era() > 0 {
		if u.baseMissed.IsZero() {
			u.baseMissed = time.Now()
		}
		if time.Since(u.baseMissed) < baseSettle {
			return false, nil
		}
	}
	return true, u.clock.Propose(ctx, u.store)
}

// restoreBase writes the base of the agreed time again if the store was restored.
func (u *usageWriter) restoreBase(ctx context.Context) {
	e := u.store.Era()
	if e == u.era {
		return
	}
	err := u.clock.Restore(ctx, u.store)
	var other *truetime.OtherBaseError
	if err == nil || errors.As(err, &other) {
		u.era = e
	}
	u.logger.Info().Int("Era", int(e)).Err(err).Msg("TimeBaseRestored")
}

// copyToPeers hands the counts that are not written off to peers.
func (u *usageWriter) copyToPeers(ctx context.Context) {
	if u.clock.Agreed() {
		u.restoreBase(ctx)
		u.logWritten(u.writer.Copy(ctx, u.clock.Now()))
	}
}

// logWritten logs the hand-offs that were written for peers and the error of a write.
func (u *usageWriter) logWritten(writtenForPeers []metering.Handoff, err error) {
	for _, h := range writtenForPeers {
		u.logger.Info().Str("Owner", string(h.Instance)).Int64("Window", int64(h.Window)).Int64("Made", h.Made).
			Bool("Final", h.Final).Bool("Failed", h.Failed).Msg("UsageWrittenForPeer")
	}
	if err != nil {
		u.logger.Warn().Err(err).Msg("UsageNotWritten")
	}
}

// close writes the counts for the last time, or hands them off to peers if the write fails, and hands over the copies of frozen windows. An
// instance that never obtained the agreed time writes nothing, as its counts cannot be assigned to a window.
func (u *usageWriter) close() {
	defer u.handOver()
	if !u.clock.Agreed() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	if err := u.writer.Close(ctx, u.clock.Now()); err != nil {
		u.logger.Warn().Err(err).Msg("UsageHandedOff")
	}
}

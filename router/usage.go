package main

import (
	"context"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/serving/membership"
	"cowslipshunt.example/serving/metering"
	"cowslipshunt.example/serving/truetime"
	"github.com/phuslu/log"
)

// countRetention is how long after the end of a window its counts stay in memory. Counts that are not written stay longer.
const countRetention = 30 * time.Second

// usageWriter writes the usage counts of this incarnation to the store.
type usageWriter struct {
	store   *platform.Store
	clock   *truetime.Clock
	counter *metering.Counter
	writer  *metering.Writer
	// liveInstances counts the live instances, this one included.
	liveInstances func() int
	logger        *log.Logger
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
		if err := u.clock.Agree(ctx, u.store); err != nil {
			u.logger.Warn().Err(err).Msg("TimeNotAgreed")
			return
		}
		u.logger.Info().Time("Now", u.clock.Now()).Msg("TimeAgreed")
	}
	writtenForPeers, err := u.writer.Step(ctx, u.clock.Now())
	u.logWritten(writtenForPeers, err)
	if err == nil {
		u.counter.Forget(u.clock.Now().Add(-countRetention))
	}
}

// copyToPeers hands the counts that are not written off to peers.
func (u *usageWriter) copyToPeers(ctx context.Context) {
	if u.clock.Agreed() {
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

// close writes the counts for the last time, or hands them off to peers if the write fails. An instance that never
// obtained the agreed time writes nothing, as its counts cannot be assigned to a window.
func (u *usageWriter) close() {
	if !u.clock.Agreed() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	if err := u.writer.Close(ctx, u.clock.Now()); err != nil {
		u.logger.Warn().Err(err).Msg("UsageHandedOff")
	}
}

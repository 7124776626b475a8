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
// has the agreed time.
func (u *usageWriter) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			u.close()
			return
		case <-timer.C:
		}
		_ = protect(u.logger, "usage", func() { u.step(ctx) })
		timer.Reset(membership.UsageWriteInterval(u.liveInstances()))
	}
}

func (u *usageWriter) step(ctx context.Context) {
	if !u.clock.Agreed() {
		if err := u.clock.Agree(ctx, u.store); err != nil {
			u.logger.Warn().Err(err).Msg("TimeNotAgreed")
			return
		}
		u.logger.Info().Time("Now", u.clock.Now()).Msg("TimeAgreed")
	}
	writtenForPeers, err := u.writer.Step(ctx, u.clock.Now())
	for _, h := range writtenForPeers {
		u.logger.Info().Str("Owner", string(h.Instance)).Int64("Window", int64(h.Window)).Int64("Made", h.Made).Bool("Final", h.Final).
			Msg("UsageWrittenForPeer")
	}
	if err != nil {
		u.logger.Warn().Err(err).Msg("UsageNotWritten")
		return
	}
	u.counter.Forget(u.clock.Now().Add(-countRetention))
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

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

// forgetAfter is how long counts stay in memory after they were written.
const forgetAfter = 30 * time.Second

// usageWriter keeps the store's counts of this incarnation up to date.
type usageWriter struct {
	store   *platform.Store
	clock   *truetime.Clock
	counter *metering.Counter
	writer  *metering.Writer
	// instances counts the instances alive.
	instances func() int
	logger    *log.Logger
}

// run writes until ctx ends and once more then, and agrees on the time first.
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
		u.step(ctx)
		timer.Reset(membership.UsageWriteInterval(u.instances()))
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
	written, err := u.writer.Step(ctx, u.clock.Now())
	for _, x := range written {
		u.logger.Info().Str("Owner", string(x.Instance)).Int64("Window", int64(x.Window)).Int64("Made", x.Made).Bool("Final", x.Final).
			Msg("UsageWrittenForPeer")
	}
	if err != nil {
		u.logger.Warn().Err(err).Msg("UsageNotWritten")
		return
	}
	u.counter.Forget(u.clock.Now().Add(-forgetAfter))
}

// close writes for the last time. Counts of an instance that never agreed on the time belong to no window.
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

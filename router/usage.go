package main

import (
	"context"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/serving/metering"
	"cowslipshunt.example/serving/truetime"
	"cowslipshunt.example/wire"
	"github.com/phuslu/log"
)

// Times of writing usage.
const (
	// writeEvery is how often counts go to the store. A kill loses what was counted since.
	writeEvery = time.Second
	// forgetAfter is how long counts stay in memory after they were written.
	forgetAfter = 30 * time.Second
)

// writeUsage writes the counts of this incarnation until ctx ends, and agrees on the time first.
func writeUsage(ctx context.Context, store *platform.Store, clock *truetime.Clock, counter *metering.Counter, incarnation wire.IncarnationId, logger *log.Logger) {
	ticker := time.NewTicker(writeEvery)
	defer ticker.Stop()
	for {
		flushUsage(ctx, store, clock, counter, incarnation, logger)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func flushUsage(ctx context.Context, store *platform.Store, clock *truetime.Clock, counter *metering.Counter, incarnation wire.IncarnationId, logger *log.Logger) {
	if !clock.Agreed() {
		if err := clock.Agree(ctx, store); err != nil {
			logger.Warn().Err(err).Msg("TimeNotAgreed")
			return
		}
		logger.Info().Time("Now", clock.Now()).Msg("TimeAgreed")
	}
	if err := counter.Write(ctx, store, incarnation); err != nil {
		logger.Warn().Err(err).Msg("UsageNotWritten")
		return
	}
	counter.Forget(clock.Now().Add(-forgetAfter))
}

package main

import (
	"context"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/serving/metering"
	"cowslipshunt.example/serving/truetime"
	"cowslipshunt.example/shared/lease"
	"github.com/phuslu/log"
)

// Times of writing usage.
const (
	// writeEvery is how often counts go to the store. A kill loses what was counted since. The more instances there are, the
	// less one loses, and the less often each writes: writePerInstance for each, up to writeAtMost, which is under a window.
	writeEvery       = time.Second
	writePerInstance = 100 * time.Millisecond
	writeAtMost      = 4 * time.Second
	// forgetAfter is how long counts stay in memory after they were written.
	forgetAfter = 30 * time.Second
)

// writeUsage writes the counts of this incarnation until ctx ends and once more then, and agrees on the time first.
func writeUsage(ctx context.Context, store *platform.Store, clock *truetime.Clock, counter *metering.Counter, self lease.Identity, instances func() int, logger *log.Logger) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			lastCtx, cancel := context.WithTimeout(context.Background(), orderTimeout)
			defer cancel()
			flushUsage(lastCtx, store, clock, counter, self, logger)
			return
		case <-timer.C:
		}
		flushUsage(ctx, store, clock, counter, self, logger)
		timer.Reset(min(max(writeEvery, time.Duration(instances())*writePerInstance), writeAtMost))
	}
}

func flushUsage(ctx context.Context, store *platform.Store, clock *truetime.Clock, counter *metering.Counter, self lease.Identity, logger *log.Logger) {
	if !clock.Agreed() {
		if err := clock.Agree(ctx, store); err != nil {
			logger.Warn().Err(err).Msg("TimeNotAgreed")
			return
		}
		logger.Info().Time("Now", clock.Now()).Msg("TimeAgreed")
	}
	if err := counter.Write(ctx, store, self.Instance, self.Incarnation); err != nil {
		logger.Warn().Err(err).Msg("UsageNotWritten")
		return
	}
	counter.Forget(clock.Now().Add(-forgetAfter))
}

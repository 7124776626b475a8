package duty

import (
	"context"
	"sync"

	"cowslipshunt.example/shared/lease"
	"cowslipshunt.example/shared/process"
	"github.com/VictoriaMetrics/metrics"
)

// Run does the duties until ctx ends, then gives the leases up. The leases are renewed until all work under them has ended.
func (d *Duties) Run(ctx context.Context) {
	var work, keeping sync.WaitGroup
	keepCtx, stopKeeping := context.WithCancel(context.WithoutCancel(ctx))
	defer stopKeeping()
	for _, k := range d.keepers() {
		keeping.Go(func() { d.every(keepCtx, d.keep(k)) })
	}
	work.Go(func() { d.every(ctx, d.closeWindows) })
	work.Go(func() {
		d.every(ctx, d.worker.Tick)
		d.worker.Close()
	})
	work.Wait()
	stopKeeping()
	keeping.Wait()
	d.release(process.Hard(ctx))
}

// every calls do at once and then each tick until ctx ends.
func (d *Duties) every(ctx context.Context, do func(context.Context)) {
	ticker := d.clock.NewTicker(d.cfg.Tick)
	defer ticker.Stop()
	for ctx.Err() == nil {
		do(ctx)
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
		}
	}
}

// keep returns the step of one lease, which logs each change of belief.
func (d *Duties) keep(k *lease.Keeper) func(context.Context) {
	var before lease.Belief
	return func(ctx context.Context) {
		if err := k.Step(ctx); err != nil && ctx.Err() == nil {
			d.logger.Warn().Err(err).Str("Lease", string(k.Name())).Msg("lease step failed")
		}
		now := k.Belief()
		if now.Holds != before.Holds || now.Epoch != before.Epoch {
			d.logger.Info().Str("Lease", string(k.Name())).Bool("Holds", now.Holds).Int("Epoch", int(now.Epoch)).
				Msg("belief about the lease changed")
		}
		before = now
	}
}

func (d *Duties) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	for _, k := range d.keepers() {
		if err := k.Release(ctx); err != nil {
			d.logger.Warn().Err(err).Str("Lease", string(k.Name())).Msg("lease not released")
		}
	}
}

func (d *Duties) closeWindows(ctx context.Context) {
	before := d.windows.Closed()
	if err := d.windows.Step(ctx); err != nil && ctx.Err() == nil {
		metrics.GetOrCreateCounter("entry_window_failures_total").Inc()
		d.logger.Warn().Err(err).Int("Unreported", d.windows.Unreported()).Msg("usage windows not up to date")
	}
	if n := d.windows.Closed(); n != before {
		d.logger.Info().Int("Window", n).Int("Unreported", d.windows.Unreported()).Msg("usage window closed")
	}
}

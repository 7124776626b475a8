package duty

import (
	"context"
	"sync"

	"cowslipshunt.example/shared/lease"
	"cowslipshunt.example/shared/process"
	"github.com/VictoriaMetrics/metrics"
)

// Run does the duties until ctx ends and then releases the leases. The leases are renewed until all work under them has ended.
func (d *Duties) Run(ctx context.Context) {
	var work, renewals sync.WaitGroup
	renewCtx, stopRenewing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopRenewing()
	for _, k := range d.keepers() {
		renewals.Go(func() { d.runEveryTick(renewCtx, d.leaseStep(k)) })
	}
	work.Go(func() { d.runEveryTick(ctx, d.freezeWindows) })
	work.Go(func() {
		d.runEveryTick(ctx, d.worker.Tick)
		d.worker.Close()
	})
	work.Wait()
	stopRenewing()
	renewals.Wait()
	d.releaseLeases(process.ForceContext(ctx))
}

// runEveryTick calls fn at once and then at each tick until ctx ends.
func (d *Duties) runEveryTick(ctx context.Context, fn func(context.Context)) {
	ticker := d.clock.NewTicker(d.cfg.Tick)
	defer ticker.Stop()
	for ctx.Err() == nil {
		fn(ctx)
		select {
		case <-ticker.Chan():
		case <-ctx.Done():
		}
	}
}

// leaseStep returns a function that acquires or renews a lease when due, and logs when the lease is gained or lost or its epoch
// changes.
func (d *Duties) leaseStep(k *lease.Keeper) func(context.Context) {
	var before lease.Belief
	return func(ctx context.Context) {
		if err := k.Step(ctx); err != nil && ctx.Err() == nil {
			d.logger.Warn().Err(err).Str("Lease", string(k.Name())).Msg("cannot acquire or renew the lease; retrying at the next tick")
		}
		now := k.Belief()
		if now.Holds != before.Holds || now.Epoch != before.Epoch {
			d.logger.Info().Str("Lease", string(k.Name())).Bool("Holds", now.Holds).Int("Epoch", int(now.Epoch)).
				Msg("lease state changed")
		}
		before = now
	}
}

// releaseLeases releases both leases, so that another instance can acquire them at once.
func (d *Duties) releaseLeases(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	for _, k := range d.keepers() {
		if err := k.Release(ctx); err != nil {
			d.logger.Warn().Err(err).Str("Lease", string(k.Name())).Msg("cannot release the lease; it expires at the end of its term")
		}
	}
}

// freezeWindows freezes and reports the usage windows that are due, and logs the last one that it froze.
func (d *Duties) freezeWindows(ctx context.Context) {
	before := d.windows.LastFrozen()
	if err := d.windows.Step(ctx); err != nil && ctx.Err() == nil {
		metrics.GetOrCreateCounter("entry_window_failures_total").Inc()
		d.logger.Warn().Err(err).Int("Unreported", d.windows.Unreported()).Msg("cannot freeze or report all usage windows; retrying at the next tick")
	}
	if n := d.windows.LastFrozen(); n != before {
		d.logger.Info().Int("Window", n).Int("Unreported", d.windows.Unreported()).Msg("usage window frozen")
	}
}

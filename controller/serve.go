package main

import (
	"context"
	"net"
	"sync"

	"cowslipshunt.example/shared/lease"
	"cowslipshunt.example/shared/process"
	"github.com/VictoriaMetrics/metrics"
)

// serve runs until ctx ends, then gives the leases up. The leases are renewed until all work under them has ended.
func (c *controller) serve(ctx context.Context) error {
	l, err := net.Listen("tcp", c.cfg.Address)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var work, keeping sync.WaitGroup
	keepCtx, stopKeeping := context.WithCancel(context.WithoutCancel(ctx))
	defer stopKeeping()
	for _, k := range c.keepers() {
		keeping.Go(func() { c.every(keepCtx, c.keep(k)) })
	}
	work.Go(func() { c.every(ctx, c.closeWindows) })
	work.Go(func() {
		c.every(ctx, c.worker.Tick)
		c.worker.Close()
	})
	c.operations.SetReady(true)
	c.logger.Info().Str("Address", c.cfg.Address).Msg("serving")
	err = process.Serve(ctx, process.NewServer(c.operations.Router), l, stopGrace)
	c.operations.SetReady(false)
	stop()
	work.Wait()
	stopKeeping()
	keeping.Wait()
	c.release(process.Hard(ctx))
	c.logger.Info().Msg("stopped")
	return err
}

// every calls do at once and then each tick until ctx ends.
func (c *controller) every(ctx context.Context, do func(context.Context)) {
	ticker := c.clock.NewTicker(millis(c.cfg.TickMillis))
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
func (c *controller) keep(k *lease.Keeper) func(context.Context) {
	var before lease.Belief
	return func(ctx context.Context) {
		if err := k.Step(ctx); err != nil && ctx.Err() == nil {
			c.logger.Warn().Err(err).Str("Lease", string(k.Name())).Msg("lease step failed")
		}
		now := k.Belief()
		if now.Holds != before.Holds || now.Epoch != before.Epoch {
			c.logger.Info().Str("Lease", string(k.Name())).Bool("Holds", now.Holds).Int("Epoch", int(now.Epoch)).
				Msg("belief about the lease changed")
		}
		before = now
	}
}

func (c *controller) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopGrace)
	defer cancel()
	for _, k := range c.keepers() {
		if err := k.Release(ctx); err != nil {
			c.logger.Warn().Err(err).Str("Lease", string(k.Name())).Msg("lease not released")
		}
	}
}

func (c *controller) closeWindows(ctx context.Context) {
	before := c.windows.Closed()
	if err := c.windows.Step(ctx); err != nil && ctx.Err() == nil {
		metrics.GetOrCreateCounter("controller_window_failures_total").Inc()
		c.logger.Warn().Err(err).Int("Unreported", c.windows.Unreported()).Msg("usage windows not up to date")
	}
	if n := c.windows.Closed(); n != before {
		c.logger.Info().Int("Window", n).Int("Unreported", c.windows.Unreported()).Msg("usage window closed")
	}
}

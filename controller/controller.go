package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"cowslipshunt.example/controller/domain"
	"cowslipshunt.example/shared/lease"
	"cowslipshunt.example/shared/platform"
	"cowslipshunt.example/shared/process"
	"cowslipshunt.example/wire"
	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
)

// stopGrace bounds the end of the operations listener and of giving up a lease.
const stopGrace = 2 * time.Second

// controller is one process: the keepers of both leases and the work that each lease brings.
type controller struct {
	cfg         settings
	logger      *log.Logger
	clock       clockwork.Clock
	incarnation wire.IncarnationId
	platform    *platform.Client
	operations  *process.Operations
	domain      *lease.Keeper
	worker      *domain.Worker
}

func newController(cfg settings, logger *log.Logger) *controller {
	c := &controller{
		cfg:         cfg,
		logger:      logger,
		clock:       clockwork.NewRealClock(),
		incarnation: wire.IncarnationId(uuid.NewString()),
		platform:    platform.NewClient(cfg.Platform, platform.WithTimeout(millis(cfg.StoreTimeoutMillis))),
		operations:  process.NewOperations(),
	}
	c.domain = c.newKeeper(lease.Domain(cfg.Domain))
	c.worker = c.newWorker()
	c.operations.Router.Get("/status", c.serveStatus)
	return c
}

func (c *controller) newKeeper(name wire.LeaseName) *lease.Keeper {
	self := lease.Identity{Instance: c.cfg.Instance, Incarnation: c.incarnation}
	k := lease.NewKeeper(name, self, c.platform, lease.NewSystemClock(c.clock),
		lease.WithTerm(millis(c.cfg.LeaseTermMillis)), lease.WithOrderTimeout(millis(c.cfg.OrderTimeoutMillis)))
	gauge := func(metric string, value func(lease.Belief) float64) {
		metrics.GetOrCreateGauge(fmt.Sprintf("controller_lease_%s{lease=%q}", metric, name), func() float64 { return value(k.Belief()) })
	}
	gauge("held", func(b lease.Belief) float64 {
		if b.Holds {
			return 1
		}
		return 0
	})
	gauge("epoch", func(b lease.Belief) float64 { return float64(b.Epoch) })
	gauge("left_seconds", func(b lease.Belief) float64 { return b.Left.Seconds() })
	return k
}

func (c *controller) newWorker() *domain.Worker {
	timeout := millis(c.cfg.OrderTimeoutMillis)
	var entries []domain.Entry
	for _, e := range c.cfg.Entry {
		entries = append(entries, domain.Entry{Instance: e.Instance, Address: e.Address})
	}
	return domain.NewWorker(domain.Config{
		Self: wire.Hello{
			Instance:    c.cfg.Instance,
			Incarnation: c.incarnation,
			Domain:      c.cfg.Domain,
			Program:     wire.ProgramController,
		},
		PeerSecret:   c.cfg.PeerSecret,
		Entries:      entries,
		Platform:     c.platform,
		Keeper:       c.domain,
		Sender:       domain.NewSender(c.domain, c.cfg.Platform, timeout),
		Poller:       domain.NewPoller(timeout),
		OrderTimeout: timeout,
		Clock:        c.clock,
		Logger:       c.logger,
	})
}

// serve runs until ctx ends, then gives the leases up.
func (c *controller) serve(ctx context.Context) error {
	l, err := net.Listen("tcp", c.cfg.Address)
	if err != nil {
		return err
	}
	var work, keeping sync.WaitGroup
	keepCtx, stopKeeping := context.WithCancel(context.WithoutCancel(ctx))
	keeping.Go(func() { c.every(keepCtx, c.keep) })
	work.Go(func() {
		c.every(ctx, c.worker.Tick)
		c.worker.Close()
	})
	c.operations.SetReady(true)
	c.logger.Info().Str("Address", c.cfg.Address).Msg("serving")
	err = process.Serve(ctx, process.NewServer(c.operations.Router), l, stopGrace)
	c.operations.SetReady(false)
	work.Wait()
	stopKeeping()
	keeping.Wait()
	c.release(process.Hard(ctx))
	c.logger.Info().Msg("stopped")
	return err
}

func (c *controller) keep(ctx context.Context) {
	before := c.domain.Belief().Holds
	err := c.domain.Step(ctx)
	after := c.domain.Belief()
	if err != nil {
		c.logger.Warn().Err(err).Str("Lease", string(c.domain.Name())).Msg("lease step failed")
	}
	if after.Holds != before {
		c.logger.Info().Str("Lease", string(c.domain.Name())).Bool("Holds", after.Holds).Int("Epoch", int(after.Epoch)).Msg("lease changed")
	}
}

func (c *controller) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopGrace)
	defer cancel()
	if err := c.domain.Release(ctx); err != nil {
		c.logger.Warn().Err(err).Str("Lease", string(c.domain.Name())).Msg("lease not released")
	}
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

func (c *controller) serveStatus(w http.ResponseWriter, _ *http.Request) {
	b := c.domain.Belief()
	list := wire.LeaseBeliefList{Leases: []wire.LeaseBelief{{
		Lease:       c.domain.Name(),
		Holds:       b.Holds,
		Epoch:       b.Epoch,
		LeftMillis:  int(b.Left.Milliseconds()),
		Instance:    c.cfg.Instance,
		Incarnation: c.incarnation,
	}}}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(list); err != nil {
		c.logger.Debug().Err(err).Msg("status not sent")
	}
}

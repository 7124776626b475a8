package main

import (
	"fmt"
	"net"
	"time"

	"cowslipshunt.example/controller/domain"
	"cowslipshunt.example/shared/lease"
	"cowslipshunt.example/shared/platform"
	"cowslipshunt.example/shared/process"
	"cowslipshunt.example/shared/usage"
	"cowslipshunt.example/wire"
	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
)

// stopGrace bounds the end of the operations listener and of giving up the leases.
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
	usage       *lease.Keeper
	worker      *domain.Worker
	windows     *usage.Windows
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
	c.usage = c.newKeeper(lease.Usage)
	c.worker = c.newWorker()
	c.windows = c.newWindows()
	c.operations.Router.Get("/status", c.serveStatus)
	return c
}

func (c *controller) keepers() []*lease.Keeper {
	return []*lease.Keeper{c.domain, c.usage}
}

func (c *controller) newKeeper(name wire.LeaseName) *lease.Keeper {
	self := lease.Identity{Instance: c.cfg.Instance, Incarnation: c.incarnation}
	k := lease.NewKeeper(name, self, c.platform, lease.NewSystemClock(c.clock),
		lease.WithTerm(millis(c.cfg.LeaseTermMillis)), lease.WithOrderTimeout(millis(c.cfg.OrderTimeoutMillis)))
	gauge := func(metric string, value func(lease.Belief) float64) {
		metrics.GetOrCreateGauge(fmt.Sprintf("controller_lease_%s{lease=%q}", metric, name), func() float64 {
			return value(k.Belief())
		})
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

func (c *controller) newWindows() *usage.Windows {
	timeout := millis(c.cfg.OrderTimeoutMillis)
	dial := c.usage.GuardedDial((&net.Dialer{Timeout: timeout}).DialContext)
	reporter := platform.NewClient(c.cfg.Platform, platform.WithTimeout(timeout), platform.WithDial(dial))
	return usage.NewWindows(c.cfg.Instance, c.incarnation, c.platform, c.usage, reporter, c.clock,
		usage.WithLength(time.Duration(c.cfg.WindowSeconds)*time.Second), usage.WithTimeout(timeout))
}

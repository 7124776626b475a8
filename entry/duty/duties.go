// Package duty competes for the domain lease and the usage lease on behalf of an instance, and does the work that each lease allows:
// it gives orders to the endpoints of the failure domain, and freezes and reports usage windows.
package duty

import (
	"fmt"
	"net"
	"time"

	"cowslipshunt.example/entry/domain"
	"cowslipshunt.example/shared/channel"
	"cowslipshunt.example/shared/lease"
	"cowslipshunt.example/shared/platform"
	"cowslipshunt.example/shared/process"
	"cowslipshunt.example/shared/usage"
	"cowslipshunt.example/wire"
	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
)

// releaseTimeout bounds the release of both leases at shutdown.
const releaseTimeout = 2 * time.Second

// Config configures the duties of an instance.
type Config struct {
	Instance    wire.InstanceName
	Domain      wire.DomainName
	Incarnation wire.IncarnationId
	// Platform is the address of the platform's services.
	Platform   string
	PeerSecret channel.Secret
	// Entries are the instances of the failure domain, this one included, with their addresses for control links.
	Entries []domain.Entry
	// LeaseTerm is how long a lease lasts without renewal.
	LeaseTerm time.Duration
	// OrderTimeout bounds each order to an endpoint, each poll of an engine's state and each usage report.
	OrderTimeout time.Duration
	// StoreTimeout bounds each other call of the platform.
	StoreTimeout time.Duration
	// Tick is the interval at which each duty runs, Window the length of a usage window.
	Tick   time.Duration
	Window time.Duration
}

// Duties holds the keepers of both leases and the workers that act while a lease is held.
type Duties struct {
	cfg         Config
	logger      *log.Logger
	clock       clockwork.Clock
	platform    *platform.Client
	domainLease *lease.Keeper
	usageLease  *lease.Keeper
	worker      *domain.Worker
	windows     *usage.Windows
}

// New returns duties, whose work starts with Run. It registers the metrics of the leases, and adds /status to the operations router,
// which shows the state of the leases.
func New(cfg Config, clock clockwork.Clock, operations *process.Operations, logger *log.Logger) *Duties {
	d := &Duties{
		cfg:      cfg,
		logger:   logger,
		clock:    clock,
		platform: platform.NewClient(cfg.Platform, platform.WithTimeout(cfg.StoreTimeout)),
	}
	d.domainLease = d.newKeeper(lease.Domain(cfg.Domain))
	d.usageLease = d.newKeeper(lease.Usage)
	d.worker = d.newWorker()
	d.windows = d.newWindows()
	operations.Router.Get("/status", d.serveStatus)
	return d
}

func (d *Duties) keepers() []*lease.Keeper {
	return []*lease.Keeper{d.domainLease, d.usageLease}
}

// newKeeper returns the keeper of a lease and registers the lease's metrics.
func (d *Duties) newKeeper(name wire.LeaseName) *lease.Keeper {
	self := lease.Identity{Instance: d.cfg.Instance, Incarnation: d.cfg.Incarnation}
	k := lease.NewKeeper(name, self, d.platform, lease.NewSystemClock(d.clock),
		lease.WithTerm(d.cfg.LeaseTerm), lease.WithOrderTimeout(d.cfg.OrderTimeout))
	gauge := func(metric string, value func(lease.Belief) float64) {
		metrics.GetOrCreateGauge(fmt.Sprintf("entry_lease_%s{lease=%q}", metric, name), func() float64 {
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

// linkSuffix is appended to the instance's name on the duties' control links, to tell them from the entry's own links to peers.
const linkSuffix = "/duties"

// newWorker returns the worker that gives orders to the failure domain's endpoints.
func (d *Duties) newWorker() *domain.Worker {
	return domain.NewWorker(domain.Config{
		Self: wire.Hello{
			Instance:    d.cfg.Instance + linkSuffix,
			Incarnation: d.cfg.Incarnation,
			Domain:      d.cfg.Domain,
			Program:     wire.ProgramDuties,
		},
		PeerSecret:   d.cfg.PeerSecret,
		Entries:      d.cfg.Entries,
		Platform:     d.platform,
		Keeper:       d.domainLease,
		Sender:       domain.NewSender(d.domainLease, d.cfg.Platform, d.cfg.OrderTimeout),
		Poller:       domain.NewPoller(d.cfg.OrderTimeout),
		OrderTimeout: d.cfg.OrderTimeout,
		Clock:        d.clock,
		Logger:       d.logger,
	})
}

// newWindows returns the worker that freezes and reports usage windows. Reports are sent over connections that transmit only while
// the lease is held.
func (d *Duties) newWindows() *usage.Windows {
	timeout := d.cfg.OrderTimeout
	dial := d.usageLease.GuardedDial((&net.Dialer{Timeout: timeout}).DialContext)
	reporter := platform.NewClient(d.cfg.Platform, platform.WithTimeout(timeout), platform.WithDial(dial))
	return usage.NewWindows(d.cfg.Instance, d.cfg.Incarnation, d.platform, d.usageLease, reporter, d.clock,
		usage.WithLength(d.cfg.Window), usage.WithTimeout(timeout))
}

// Package duty keeps the leases of an instance and does the work that each lease brings: it orders the endpoints of the failure
// domain, and reports usage windows.
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

// releaseTimeout bounds giving up the leases at the end.
const releaseTimeout = 2 * time.Second

// Config is what the duties of an instance go by.
type Config struct {
	Instance    wire.InstanceName
	Domain      wire.DomainName
	Incarnation wire.IncarnationId
	// Platform is the address of the platform's services.
	Platform   string
	PeerSecret channel.Secret
	// Entries are the instances of the failure domain, this one included, with their addresses for control links.
	Entries      []domain.Entry
	LeaseTerm    time.Duration
	OrderTimeout time.Duration
	StoreTimeout time.Duration
	// Tick is how often the duties look for work, Window the length of a usage window.
	Tick   time.Duration
	Window time.Duration
}

// Duties are the keepers of both leases and the work that each lease brings.
type Duties struct {
	cfg      Config
	logger   *log.Logger
	clock    clockwork.Clock
	platform *platform.Client
	domain   *lease.Keeper
	usage    *lease.Keeper
	worker   *domain.Worker
	windows  *usage.Windows
}

// New returns duties that do nothing before Run. They show their leases at /status of the operations address.
func New(cfg Config, clock clockwork.Clock, operations *process.Operations, logger *log.Logger) *Duties {
	d := &Duties{
		cfg:      cfg,
		logger:   logger,
		clock:    clock,
		platform: platform.NewClient(cfg.Platform, platform.WithTimeout(cfg.StoreTimeout)),
	}
	d.domain = d.newKeeper(lease.Domain(cfg.Domain))
	d.usage = d.newKeeper(lease.Usage)
	d.worker = d.newWorker()
	d.windows = d.newWindows()
	operations.Router.Get("/status", d.serveStatus)
	return d
}

func (d *Duties) keepers() []*lease.Keeper {
	return []*lease.Keeper{d.domain, d.usage}
}

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

// linkSuffix tells the control links of an instance's duties from those of its entry, which are links between peers.
const linkSuffix = "/duties"

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
		Keeper:       d.domain,
		Sender:       domain.NewSender(d.domain, d.cfg.Platform, d.cfg.OrderTimeout),
		Poller:       domain.NewPoller(d.cfg.OrderTimeout),
		OrderTimeout: d.cfg.OrderTimeout,
		Clock:        d.clock,
		Logger:       d.logger,
	})
}

func (d *Duties) newWindows() *usage.Windows {
	timeout := d.cfg.OrderTimeout
	dial := d.usage.GuardedDial((&net.Dialer{Timeout: timeout}).DialContext)
	reporter := platform.NewClient(d.cfg.Platform, platform.WithTimeout(timeout), platform.WithDial(dial))
	return usage.NewWindows(d.cfg.Instance, d.cfg.Incarnation, d.platform, d.usage, reporter, d.clock,
		usage.WithLength(d.cfg.Window), usage.WithTimeout(timeout))
}

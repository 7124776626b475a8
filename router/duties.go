package main

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/serving/fleet"
	"cowslipshunt.example/serving/metering"
	"cowslipshunt.example/serving/peerload"
	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/serving/truetime"
	"cowslipshunt.example/shared/lease"
	"cowslipshunt.example/shared/link"
	"cowslipshunt.example/wire"
	"github.com/phuslu/log"
)

// Times of the duties.
const (
	// dutyEvery is how often the duties are looked at; a third of the lease's renewal.
	dutyEvery = 500 * time.Millisecond
	// orderTimeout bounds an order or a call to the platform; the lease has to be held for at least as long.
	orderTimeout = 700 * time.Millisecond
	// holderSilence is how long after the holder's last report the others look at the lease in the store.
	holderSilence = 1500 * time.Millisecond
	// settleParts is how many tenths of the time until a report is due the counts of a window are waited for.
	settleParts = 7
	// scaleAgain is how often an order of endpoints is repeated while fewer are listed than wanted.
	scaleAgain = 3 * time.Second
	// stageAgain is how long an engine has to show the stage it was ordered to before the order is repeated.
	stageAgain = 8 * time.Second
)

// dutyLease names the lease for usage reports and orders.
const dutyLease wire.LeaseName = "duties"

// scaleKey names what one order of endpoints is about, scaleOrder is the last such order.
type (
	scaleKey struct {
		service wire.ServiceName
		domain  wire.DomainName
		spot    bool
	}
	scaleOrder struct {
		count int
		at    time.Time
	}
)

// duties are what one instance at a time does for all.
type duties struct {
	instance  wire.InstanceName
	keeper    *lease.Keeper
	client    *platform.Duties
	reporter  *metering.Reporter
	counter   *metering.Counter
	store     *platform.Store
	clock     *truetime.Clock
	relay     *relay.Relay
	directory *roster.Directory
	logger    *log.Logger
	settings  *platform.Settings
	peers     *peerload.Reporter
	board     *peerload.Board

	holds   bool
	scaled  map[scaleKey]scaleOrder
	scalers map[wire.ServiceName]*fleet.Scaler
	staged  map[roster.Key]time.Time
}

func newDuties(s *platform.Settings, store *platform.Store, clock *truetime.Clock, counter *metering.Counter, r *relay.Relay,
	d *roster.Directory, peers *peerload.Reporter, board *peerload.Board, self lease.Identity, logger *log.Logger) *duties {
	keeper := lease.NewKeeper(dutyLease, self, store, bootClock{}, lease.WithTerm(s.Bounds.LeaseTerm), lease.WithOrderTimeout(orderTimeout))
	x := &duties{
		instance:  s.Instance,
		keeper:    keeper,
		client:    platform.NewDuties(s.DutyAddress, link.DialFunc(keeper.GuardedDial(link.Dial))),
		counter:   counter,
		store:     store,
		clock:     clock,
		relay:     r,
		directory: d,
		logger:    logger,
		settings:  s,
		peers:     peers,
		board:     board,
		scaled:    map[scaleKey]scaleOrder{},
		scalers:   map[wire.ServiceName]*fleet.Scaler{},
		staged:    map[roster.Key]time.Time{},
	}
	x.reporter = metering.NewReporter(store, keeper, x, counter, s.Bounds.UsageDue*settleParts/10, metering.WithLate(x.usageLate))
	return x
}

// run does the duties until ctx ends, and gives the lease up then.
func (x *duties) run(ctx context.Context) {
	ticker := time.NewTicker(dutyEvery)
	defer ticker.Stop()
	for {
		x.step(ctx)
		select {
		case <-ctx.Done():
			lastCtx, cancel := context.WithTimeout(context.Background(), orderTimeout)
			defer cancel()
			if err := x.keeper.Release(lastCtx); err != nil {
				x.logger.Warn().Str("Lease", string(dutyLease)).Err(err).Msg("LeaseNotReleased")
			}
			return
		case <-ticker.C:
		}
	}
}

func (x *duties) step(ctx context.Context) {
	if x.holds || !x.board.HolderHeard(time.Now(), holderSilence) {
		if err := x.keeper.Step(ctx); err != nil {
			x.logger.Warn().Str("Lease", string(dutyLease)).Err(err).Msg("LeaseStepFailed")
		}
	}
	belief := x.keeper.Belief()
	x.peers.SetHolds(belief.Holds)
	if belief.Holds != x.holds {
		x.holds = belief.Holds
		x.logger.Info().Str("Lease", string(dutyLease)).Bool("Holds", belief.Holds).Int64("Epoch", int64(belief.Epoch)).
			Int64("LeftMillis", belief.Left.Milliseconds()).Msg("Lease")
	}
	if !belief.Holds {
		return
	}
	if x.settings.ReportsUsage && x.clock.Agreed() {
		if err := x.reporter.Step(ctx); err != nil {
			x.logger.Warn().Err(err).Msg("UsageReportFailed")
		}
	}
	if t := x.relay.Table(); t != nil {
		for _, name := range slices.Sorted(maps.Keys(t.Services)) {
			list := x.directory.View().Service(name)
			if x.settings.OrdersReplicas {
				x.scale(ctx, list, x.scaler(name).Look(t.Services[name], list, x.settings.Domains))
			}
			x.stage(ctx, fleet.DefaultPolicy.Changes(list))
		}
	}
}

// authority returns what orders carry, if the lease is held for long enough.
func (x *duties) authority() (platform.Authority, bool) {
	epoch, held := x.keeper.Guard(orderTimeout)
	return platform.Authority{Holder: x.instance, Epoch: epoch}, held
}

// ReportUsage sends one window's counts.
func (x *duties) ReportUsage(ctx context.Context, epoch wire.Epoch, w metering.Window, counts metering.Counts) error {
	err := x.client.ReportUsage(ctx, platform.Authority{Holder: x.instance, Epoch: epoch}, int64(w), counts)
	x.logger.Info().Int64("Window", int64(w)).Int("Workspaces", len(counts)).Int64("Epoch", int64(epoch)).Err(err).Msg("UsageReported")
	return err
}

// usageLate logs counts that no report holds.
func (x *duties) usageLate(w metering.Window, counts metering.Counts) {
	for workspace, n := range counts {
		x.logger.Error().Int64("Window", int64(w)).Str("Workspace", string(workspace)).Int("Requests", n).
			Str("Reason", "written after the window was frozen").Msg("UsageNotReported")
	}
}

// scaler returns the scaler of a service.
func (x *duties) scaler(name wire.ServiceName) *fleet.Scaler {
	s, known := x.scalers[name]
	if !known {
		s = fleet.NewScaler(fleet.DefaultPolicy)
		x.scalers[name] = s
	}
	return s
}

// scale orders endpoints where fewer or more are listed than wanted.
func (x *duties) scale(ctx context.Context, list []*roster.Endpoint, wanted []fleet.Wanted) {
	now := time.Now()
	for _, w := range wanted {
		key := scaleKey{service: w.Service, domain: w.Domain, spot: w.Spot}
		if last := x.scaled[key]; fleet.Listed(list, w.Domain, w.Spot) == w.Count || last.count == w.Count && now.Sub(last.at) < scaleAgain {
			continue
		}
		a, held := x.authority()
		if !held {
			return
		}
		x.scaled[key] = scaleOrder{count: w.Count, at: now}
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		err := x.client.Scale(callCtx, a, platform.ScaleOrder{Service: w.Service, Domain: w.Domain, Count: w.Count, Spot: w.Spot})
		cancel()
		var status *platform.StatusError
		none := errors.As(err, &status) && status.Status == http.StatusConflict
		if none && w.Spot {
			x.scaler(w.Service).Refused(w.Domain)
		}
		x.logger.Info().Str("Service", string(w.Service)).Str("Domain", string(w.Domain)).Int("Count", w.Count).Bool("Spot", w.Spot).
			Int64("Epoch", int64(a.Epoch)).Bool("NoneToBeHad", none).Err(err).Msg("EndpointsOrdered")
	}
}

// stage orders engines to another stage.
func (x *duties) stage(ctx context.Context, changes []fleet.Change) {
	now := time.Now()
	for _, c := range changes {
		entry := c.Endpoint.Entry()
		if now.Sub(x.staged[entry.Key]) < stageAgain {
			continue
		}
		a, held := x.authority()
		if !held {
			return
		}
		x.staged[entry.Key] = now
		c.Endpoint.Changing(c.To, now.Add(stageAgain))
		x.peers.Ordered(entry.ID, c.To, now.Add(stageAgain))
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		err := x.client.ChangeStage(callCtx, a, entry, c.To)
		cancel()
		x.logger.Info().Str("Endpoint", string(entry.ID)).Str("From", entry.Stage.String()).Str("To", c.To.String()).
			Int64("Epoch", int64(a.Epoch)).Err(err).Msg("StageOrdered")
	}
}

package main

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/serving/fleet"
	"cowslipshunt.example/serving/membership"
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
	// dutyEvery is how often the duties are looked at: twice for each renewal of the lease.
	dutyEvery = 500 * time.Millisecond
	// orderTimeout bounds an order or a call to the platform; the lease has to be held for at least as long.
	orderTimeout = 700 * time.Millisecond
	// holderSilence is how long after the holder's last report the others look at the lease in the store.
	holderSilence = 1500 * time.Millisecond
	// settleParts is how many tenths of the time until a report is due the counts of a window are waited for.
	settleParts = 7
	// goneSettles is after how many such waits without a write an instance counts as gone: one that was cut off for as long as two
	// usage windows still writes in time.
	goneSettles = 2
	// scaleAgain is how often an order of endpoints is repeated while fewer are listed than wanted.
	scaleAgain = 3 * time.Second
	// stageAgain is how long an engine has to show the stage it was ordered to before the order is repeated.
	stageAgain = 8 * time.Second
)

// dutyLease names the lease for usage reports and orders.
const dutyLease wire.LeaseName = "duties"

// dutyParts are what the duties work with.
type dutyParts struct {
	// settings are the newest ones.
	settings  *atomic.Pointer[platform.Settings]
	self      lease.Identity
	store     *platform.Store
	clock     *truetime.Clock
	counter   *metering.Counter
	relay     *relay.Relay
	directory *roster.Directory
	// reports tell the peers what is ordered, board what the peers report.
	reports *peerload.Reporter
	board   *peerload.Board
	logger  *log.Logger
}

// duties are what one instance at a time does for all.
type duties struct {
	dutyParts
	keeper   *lease.Keeper
	client   *platform.Duties
	reporter *metering.Reporter

	holds   bool
	standby membership.Standby
	scaled  map[scaleKey]scaleOrder
	scalers map[wire.ServiceName]*fleet.Scaler
	staged  map[roster.Key]time.Time
}

func newDuties(p dutyParts) *duties {
	settings := p.settings.Load()
	bounds := settings.Bounds
	keeper := lease.NewKeeper(dutyLease, p.self, p.store, bootClock{}, lease.WithTerm(bounds.LeaseTerm), lease.WithOrderTimeout(orderTimeout))
	x := &duties{
		dutyParts: p,
		keeper:    keeper,
		client:    platform.NewDuties(settings.DutyAddress, link.DialFunc(keeper.GuardedDial(link.Dial))),
		scaled:    map[scaleKey]scaleOrder{},
		scalers:   map[wire.ServiceName]*fleet.Scaler{},
		staged:    map[roster.Key]time.Time{},
	}
	settle := bounds.UsageDue * settleParts / 10
	usage := metering.Bounds{Settle: settle, Gone: goneSettles * settle}
	x.reporter = metering.NewReporter(p.store, keeper, x, p.counter, usage, metering.WithLate(x.usageLate))
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
	now := time.Now()
	if x.holds || x.standby.Due(x.board.Place(), x.board.HolderHeard(now, holderSilence), now) {
		if err := x.keeper.Step(ctx); err != nil {
			x.standby.Failed(now)
			x.logger.Warn().Str("Lease", string(dutyLease)).Err(err).Msg("LeaseStepFailed")
		}
	}
	belief := x.keeper.Belief()
	x.reports.SetHolds(belief.Holds)
	if belief.Holds != x.holds {
		x.holds = belief.Holds
		x.logger.Info().Str("Lease", string(dutyLease)).Bool("Holds", belief.Holds).Int64("Epoch", int64(belief.Epoch)).
			Int64("LeftMillis", belief.Left.Milliseconds()).Msg("Lease")
	}
	if !belief.Holds {
		return
	}
	if x.settings.Load().ReportsUsage && x.clock.Agreed() {
		if err := x.reporter.Step(ctx); err != nil {
			x.logger.Warn().Err(err).Msg("UsageReportFailed")
		}
	}
	if t := x.relay.Table(); t != nil {
		for _, name := range slices.Sorted(maps.Keys(t.Services)) {
			list := x.directory.View().Service(name)
			if x.settings.Load().OrdersReplicas {
				x.scale(ctx, list, x.scaler(name).Look(t.Services[name], list, x.settings.Load().Domains))
			}
			x.stage(ctx, fleet.DefaultPolicy.Changes(list))
		}
	}
}

// authority returns what orders carry, if the lease is held for long enough.
func (x *duties) authority() (platform.Authority, bool) {
	epoch, held := x.keeper.Guard(orderTimeout)
	return platform.Authority{Holder: x.self.Instance, Epoch: epoch}, held
}

// ReportUsage sends one window's counts.
func (x *duties) ReportUsage(ctx context.Context, epoch wire.Epoch, w metering.Window, counts metering.Counts) error {
	err := x.client.ReportUsage(ctx, platform.Authority{Holder: x.self.Instance, Epoch: epoch}, int64(w), counts)
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

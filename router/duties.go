package main

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/serving/clearance"
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
	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
)

const (
	// dutyInterval is the interval between steps of the duties. With a lease term of 3 s there are two steps for each renewal.
	dutyInterval = 500 * time.Millisecond
	// orderTimeout bounds an order to an engine or to the platform. An order is sent only if the lease is held for at least that
	// long from now. When the instance stops, it also bounds the release of the lease and the last write of usage counts.
	orderTimeout = 700 * time.Millisecond
	// holderTimeout is how long after its last report the lease holder counts as silent, so that any other instance may check the
	// lease in the store. It allows for one report that is lost.
	holderTimeout = 2500 * time.Millisecond
	// freezeTenths is the part of platform.Bounds.UsageDue, in tenths, after which a window is frozen even if counts are missing.
	freezeTenths = 7
	// goneFactor is the ratio of the time without a write after which an instance counts as gone to the time after which a window
	// is frozen. At 2, an instance that was cut off for two usage windows still writes in time.
	goneFactor = 2
	// scaleRepeatInterval is the interval at which a scale order is repeated while the listed endpoints do not match it.
	scaleRepeatInterval = 3 * time.Second
	// stageRepeatInterval is the shortest interval between stage orders to one engine: the time that it has to be listed in the
	// ordered stage.
	stageRepeatInterval = 8 * time.Second
)

// dutyLease is the name of the lease under which usage is reported and orders are sent.
const dutyLease wire.LeaseName = "duties"

// dutyDeps are the dependencies of the duties.
type dutyDeps struct {
	// settings are the settings in force. They change when the settings file is reloaded.
	settings  *atomic.Pointer[platform.Settings]
	self      lease.Identity
	store     *platform.Store
	clock     *truetime.Clock
	counter   *metering.Counter
	relay     *relay.Relay
	directory *roster.Directory
	// loadReporter reports to the peers which stage changes were ordered and whether this instance holds the lease.
	loadReporter *peerload.Reporter
	// peerLoads is the table of the newest reports of the peers.
	peerLoads *peerload.Table
	// peers get copies of frozen usage windows.
	peers  *peers
	logger *log.Logger
}

// duties are the tasks that only the lease holder performs: it reports usage, scales endpoints and changes engines' stages.
type duties struct {
	dutyDeps
	keeper        *lease.Keeper
	client        *platform.DutyClient
	usageReporter *metering.Reporter
	// ledger is the evidence of usageReporter.
	ledger *clearance.Ledger

	// holdsLease is set if the lease was held at the last step.
	holdsLease bool
	standby    membership.Standby
	// started is when the duties were made.
	started time.Time
	// scaleOrders are the last scale orders.
	scaleOrders map[endpointGroup]sentScaleOrder
	scalers     map[wire.ServiceName]*fleet.Scaler
	// stageOrders are the times of the last stage order to each engine.
	stageOrders map[roster.Key]time.Time
}

func newDuties(deps dutyDeps) *duties {
	settings := deps.settings.Load()
	bounds := settings.Bounds
	keeper := lease.NewKeeper(dutyLease, deps.self, deps.store, bootClock{}, lease.WithTerm(bounds.LeaseTerm), lease.WithOrderTimeout(orderTimeout),
		lease.WithEra(deps.store.Era))
	d := &duties{
		dutyDeps:    deps,
		keeper:      keeper,
		client:      platform.NewDutyClient(settings.DutyAddress, link.DialFunc(keeper.GuardedDial(link.Dial))),
		scaleOrders: map[endpointGroup]sentScaleOrder{},
		scalers:     map[wire.ServiceName]*fleet.Scaler{},
		stageOrders: map[roster.Key]time.Time{},
		started:     time.Now(),
	}
	freezeDelay := bounds.UsageDue * freezeTenths / 10
	ledger := clearance.NewLedger(keeper, deps.peers.witness, settings.PeerAddress)
	d.ledger = ledger
	deps.peers.ledger.Store(ledger)
	reportBounds := metering.Bounds{FreezeDelay: freezeDelay, GoneTimeout: goneFactor * freezeDelay}
	d.usageReporter = metering.NewReporter(deps.store, keeper, d, deps.counter, reportBounds, metering.WithLate(d.logLateCounts), metering.WithMalformed(d.logMalformedUsage()), metering.WithWithheld(d.logWithheld, d.logWithheldCounts),
		metering.WithRestores(metering.Restores{Era: deps.store.Era, MayRestore: deps.store.GivesEra, Copies: deps.peers.restores.copies, Share: deps.peers.sendFrozen, Evidence: ledger}))
	return d
}

// run performs the duties until ctx ends, and then releases the lease.
func (d *duties) run(ctx context.Context) {
	ticker := time.NewTicker(dutyInterval)
	defer ticker.Stop()
	for {
		_ = protect(d.logger, "duties", func() { d.step(ctx) })
		select {
		case <-ctx.Done():
			releaseCtx, cancel := context.WithTimeout(context.Background(), orderTimeout)
			defer cancel()
			if err := d.keeper.Release(releaseCtx); err != nil {
				d.logger.Warn().Str("Lease", string(dutyLease)).Err(err).Msg("LeaseNotReleased")
			}
			d.ledger.PledgeAtRelease()
			return
		case <-ticker.C:
		}
	}
}

// step acquires or renews the lease if that is due. If the lease is held, step reports usage and sends the orders that are due.
func (d *duties) step(ctx context.Context) {
	now := time.Now()
	d.keeper.ObserveEra()
	if d.clock.Agreed() {
		d.usageReporter.ObserveEra()
	}
	if d.holdsLease || d.knowsPeers(now) && d.standby.Due(d.peerLoads.Rank(), d.peerLoads.HolderReported(now, holderTimeout), now) {
		if err := d.keeper.Step(ctx); err != nil {
			d.standby.MarkFailed(now)
			d.logger.Warn().Str("Lease", string(dutyLease)).Err(err).Msg("LeaseStepFailed")
		}
	}
	belief := d.keeper.Belief()
	d.loadReporter.SetHoldsLease(belief.Holds)
	if belief.Holds != d.holdsLease {
		d.holdsLease = belief.Holds
		d.logger.Info().Str("Lease", string(dutyLease)).Bool("Holds", belief.Holds).Int64("Epoch", int64(belief.Epoch)).
			Int64("LeftMillis", belief.Left.Milliseconds()).Msg("Lease")
	}
	if !belief.Holds {
		return
	}
	if d.settings.Load().ReportsUsage && d.clock.Agreed() {
		if err := d.usageReporter.Step(ctx); err != nil {
			d.logger.Warn().Err(err).Msg("UsageReportFailed")
		}
	}
	if table := d.relay.Table(); table != nil {
		for _, name := range slices.Sorted(maps.Keys(table.Services)) {
			listed := d.directory.View().Service(name)
			if d.settings.Load().OrdersReplicas {
				d.scale(ctx, listed, d.scaler(name).Plan(table.Services[name], listed, d.settings.Load().Domains))
			}
			d.changeStages(ctx, fleet.DefaultPolicy.StageChanges(listed))
		}
	}
}

// knowsPeers reports whether the instance has heard of its peers, or has none. Until then its rank says nothing: all instances of a
// deployment that starts would check the lease at once.
func (d *duties) knowsPeers(now time.Time) bool {
	return now.Sub(d.started) >= membership.SettleTime || len(d.peerLoads.Peers()) > 0
}

// authority returns the lease holder and epoch that orders carry. It returns false unless this instance holds the lease for at
// least orderTimeout from now.
func (d *duties) authority() (platform.Authority, bool) {
	epoch, held := d.keeper.Guard(orderTimeout)
	return platform.Authority{Holder: d.self.Instance, Epoch: epoch}, held
}

// ReportUsage reports the counts of one window to the platform and logs the result. It implements metering.Platform.
func (d *duties) ReportUsage(ctx context.Context, epoch wire.Epoch, w metering.Window, counts metering.Counts) error {
	err := d.client.ReportUsage(ctx, platform.Authority{Holder: d.self.Instance, Epoch: epoch}, int64(w), counts)
	d.logger.Info().Int64("Window", int64(w)).Int("Workspaces", len(counts)).Int64("Epoch", int64(epoch)).Err(err).Msg("UsageReported")
	return err
}

// logMalformedUsage returns a function that logs each row of usage once that another writer has left and that cannot be used.
func (d *duties) logMalformedUsage() func(table, key string, err error) {
	rejected := map[string]*rejectedRows{}
	for _, table := range []string{metering.CountTable, metering.WindowTable} {
		rejected[table] = newRejectedRows(d.logger, table, "UsageRowRejected")
	}
	return func(table, key string, err error) { rejected[table].add(key, 0, err) }
}

// logWithheld logs and counts usage windows that are not reported, as they may have been before the store was restored.
func (d *duties) logWithheld(x metering.Withheld) {
	metrics.GetOrCreateCounter("router_usage_windows_withheld_total").Add(int(x.Last-x.First) + 1)
	d.logger.Error().Int64("FirstWindow", int64(x.First)).Int64("LastWindow", int64(x.Last)).Int("Era", int(x.Era)).Bool("ClearedByPeers", x.FromPeers).
		Int("Peers", len(d.peers.addresses())).Str("Reason", "no running instance knows that they were not reported before the store was restored").Msg("UsageWindowsWithheld")
}

// logWithheldCounts logs counts of a usage window that is not reported, so that they can be compared with what the platform has.
func (d *duties) logWithheldCounts(w metering.Window, counts metering.Counts) {
	for workspace, n := range counts {
		d.logger.Error().Int64("Window", int64(w)).Str("Workspace", string(workspace)).Int("Requests", n).
			Str("Reason", "the window may have been reported before the store was restored").Msg("UsageNotReported")
	}
}

// logLateCounts logs counts that arrived too late for their window's report, so that they can be billed by hand.
func (d *duties) logLateCounts(w metering.Window, counts metering.Counts) {
	for workspace, n := range counts {
		d.logger.Error().Int64("Window", int64(w)).Str("Workspace", string(workspace)).Int("Requests", n).
			Str("Reason", "written after the window was frozen").Msg("UsageNotReported")
	}
}

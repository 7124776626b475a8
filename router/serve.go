package main

import (
	"context"
	"errors"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/serving/intake"
	"cowslipshunt.example/serving/membership"
	"cowslipshunt.example/serving/metering"
	"cowslipshunt.example/serving/peerload"
	"cowslipshunt.example/serving/quarantine"
	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/retry"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/serving/truetime"
	"cowslipshunt.example/shared/connections"
	"cowslipshunt.example/shared/heads"
	"cowslipshunt.example/shared/lease"
	"cowslipshunt.example/shared/link"
	"cowslipshunt.example/shared/process"
	"cowslipshunt.example/wire"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
)

const (
	// unreadyDelay is how long the instance still accepts connections after it has reported that it is not ready: the platform
	// checks readiness once a second and stops opening connections after the second failed check.
	unreadyDelay = 2500 * time.Millisecond
	// stopMargin is the part of the grace period that is reserved for ending open requests and for the last writes to the store.
	stopMargin = time.Second
	// endTimeout bounds the time in which open requests are ended at the end of the grace period.
	endTimeout = 200 * time.Millisecond
)

// cleanUpInterval is the interval at which cleanUp is called and the settings file is checked for changes.
const cleanUpInterval = 500 * time.Millisecond

// node is one instance of the system with all its components.
type node struct {
	// settings are the settings in force, which were read from file.
	settings  atomic.Pointer[platform.Settings]
	file      *settingsFile
	logger    *log.Logger
	self      lease.Identity
	directory *roster.Directory
	store     *platform.Store
	// agreedClock reads the time that all instances agree on.
	agreedClock   *truetime.Clock
	counter       *metering.Counter
	pool          *link.Pool[roster.Key]
	handoffs      *metering.Handoffs
	loadReporter  *peerload.Reporter
	peerLoads     *peerload.Table
	quarantine    *quarantine.Table
	relay         *relay.Relay
	callerHandler *callerHandler
	// callerConns are the connections to callerServer.
	callerServer *http.Server
	callerConns  *connections.Tracker
	heads        *heads.Budget
	peers        *peers
	slackShare   *retry.SlackShare
	quotas       *quotaRunner
	// requestCtx is the base context of all requests of callers; endRequests ends them with a cause.
	requestCtx  context.Context
	endRequests context.CancelCauseFunc
	// listenErrs receives the errors of listeners that ended.
	listenErrs chan error
	// hup receives SIGHUP, which reloads the settings.
	hup chan os.Signal
}

func newNode(s *platform.Settings, path string, logger *log.Logger) *node {
	clock := clockwork.NewRealClock()
	n := &node{
		file:        newSettingsFile(path),
		logger:      logger,
		self:        lease.Identity{Instance: s.Instance, Incarnation: wire.IncarnationId(uuid.NewString())},
		directory:   roster.NewDirectory(roster.WithHeartbeat(s.Heartbeat)),
		agreedClock: truetime.New(bootClock{}.Monotonic, time.Now),
		pool:        link.NewPool[roster.Key](clock, link.DialEndpoint),
		slackShare:  retry.NewSlackShare(s.Bounds.RetryWindow, clock.Now()),
		listenErrs:  make(chan error, maxListeners),
		hup:         make(chan os.Signal, 1),
	}
	n.settings.Store(s)
	n.requestCtx, n.endRequests = context.WithCancelCause(context.Background())
	n.store = platform.NewStore(s.StoreAddress, n.agreedClock.Observe, platform.WithMalformedEra(logMalformedEra(logger)))
	n.counter = metering.NewCounter(s.Bounds.UsageWindow, n.agreedClock.Now)
	n.handoffs = metering.NewHandoffs(n.self.Incarnation, metering.WithWithdrawn(n.store.GivesEra))
	n.loadReporter = peerload.NewReporter(s.Instance, n.self.Incarnation, s.PeerAddress, s.Domain, n.directory)
	observer := decisionLog{logger: logger}
	n.peerLoads = peerload.NewTable(s.Instance, n.directory, peerload.WithSuspected(observer.logSuspected), peerload.WithLeaving(observer.logLeavingByPeer),
		peerload.WithSpeed(observer.logSpeed))
	n.quarantine = quarantine.New(clock, quarantine.WithRank(n.peerLoads.Rank), quarantine.WithObserver(observer.logQuarantine))
	bounds := relay.BudgetBounds{Window: s.Bounds.RetryWindow, Ratio: s.Bounds.RetryRatio}
	clientOpts := []platform.ClientOption{platform.WithHeldBytes(shareOf(s.MemoryBytes))}
	n.quotas = newQuotaRunner(s, n)
	relayOpts := []relay.Option{
		relay.WithCacheReporter(n.loadReporter.RecordSent), relay.WithQuarantine(n.quarantine), relay.WithQuota(n.quotas.manager),
		relay.WithSpeedReporter(n.reportSpeed),
	}
	if s.LimitsHeldBytes {
		clientOpts = append(clientOpts, platform.WithSlowReaders(observer.logSlowReader))
		relayOpts = append(relayOpts, relay.WithEndpointBytes(maxEndpointBytes))
	}
	replicaClient := platform.NewReplicaClient(n.pool, clock, clientOpts...)
	n.relay = relay.New(n.directory, replicaClient, n.counter, observer, clock, s.Domain, bounds, relayOpts...)
	n.callerHandler = newCallerHandler(n.relay, intake.New(clock, shareOf(s.MemoryBytes)), logger)
	n.callerServer = newCallerServer(n.requestCtx, n.callerHandler)
	n.callerConns = connections.Track(n.callerServer, clock, connections.WithUnreadObserver(observer.logClosedUnread))
	n.heads = newHeadBudget(s, logger)
	return n
}

// reportSpeed reports a sample of an engine's speed to the peers, and logs a change of the engine's speed.
func (n *node) reportSpeed(e *roster.Endpoint, factor float64, changed bool) {
	n.loadReporter.RecordSpeed(e.Entry().ID, factor)
	if changed {
		decisionLog{logger: n.logger}.logSpeed(e, "")
	}
}

// serve runs an instance until ctx ends, and then shuts it down gracefully.
func serve(ctx context.Context, s *platform.Settings, o options, logger *log.Logger) error {
	signal.Ignore(syscall.SIGPIPE)
	n := newNode(s, o.Settings, logger)
	// SIGHUP is handled until the process ends, because its default action would terminate the process.
	signal.Notify(n.hup, syscall.SIGHUP)
	var err error
	if n.peers, err = newPeers(n.self, s.PeerAddress, n.loadReporter, n.peerLoads, n.quarantine, n.handoffs, n.agreedClock.Now, n.logger); err != nil {
		return err
	}
	defer n.peers.close()
	n.peers.restores.setStore(n.store)
	workCtx, stopWork := context.WithCancel(process.ForceContext(ctx))
	var finalWrites sync.WaitGroup
	defer finalWrites.Wait()
	defer stopWork()
	n.start(workCtx, &finalWrites)
	if err := n.listen(o); err != nil {
		return err
	}
	logger.Info().Str("Caller", s.CallerAddress).Str("Domain", string(s.Domain)).Msg("Started")
	if err := n.waitForStop(ctx); err != nil {
		return err
	}
	n.callerHandler.stopping.Store(true)
	logger.Info().Msg("Stopping")
	n.handOver()
	return n.shutDown()
}

// start starts the background goroutines. Those that write to the store once more when ctx ends are added to finalWrites.
func (n *node) start(ctx context.Context, finalWrites *sync.WaitGroup) {
	s := n.settings.Load()
	self := membership.Peer{Address: s.PeerAddress, Domain: s.Domain}
	replicas := n.peers.replicas(self, min(s.Bounds.DrainTime, s.Bounds.ConfigurationApplyTime))
	f := newFollowers(n.store, n.relay, n.directory, n.liveInstances, replicas, n.logger)
	n.peers.setFollowers(f)
	n.peers.quotas.Store(n.quotas)
	n.quotas.peers.Store(n.peers)
	go n.quotas.run(ctx, n.relay)
	renew := make(chan struct{}, 1)
	n.store.ObserveEra(n.onRestore(f, func() {
		select {
		case renew <- struct{}{}:
		default:
		}
	}))
	go f.configuration.run(ctx)
	go f.endpoints.run(ctx)
	d := newDuties(dutyDeps{
		settings: &n.settings, self: n.self, store: n.store, clock: n.agreedClock, counter: n.counter, relay: n.relay, directory: n.directory,
		loadReporter: n.loadReporter, peerLoads: n.peerLoads, peers: n.peers, logger: n.logger,
	})
	registration := membership.NewRegistration(n.store, s.Instance, s.Domain, s.PeerAddress, n.agreedClock.Now)
	finalWrites.Go(func() { d.run(ctx) })
	finalWrites.Go(func() { maintainMembership(ctx, registration, n.peers, renew, n.logger) })
	usage := &usageWriter{
		store: n.store, clock: n.agreedClock, counter: n.counter, liveInstances: n.liveInstances, handOver: n.handOver, logger: n.logger,
		writer: metering.NewWriter(n.store, n.counter, n.handoffs, n.peers, n.self.Instance, n.self.Incarnation,
			metering.WithEra(n.store.Era, n.store.GivesEra, n.peers.restores.copies)),
	}
	finalWrites.Go(func() { usage.run(ctx) })
}

// handOver sends the copies of frozen usage windows to the peers that are to keep them when this instance has stopped.
func (n *node) handOver() {
	n.peers.handOver(n.peers.Witnesses())
}

// liveInstances counts the live instances, this one included.
func (n *node) liveInstances() int {
	return len(n.peers.addresses()) + 1
}

// waitForStop cleans up periodically, and reloads the settings when their file changes or at SIGHUP, until ctx ends. It returns
// early with the error of a listener that failed.
func (n *node) waitForStop(ctx context.Context) error {
	ticker := time.NewTicker(cleanUpInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-n.listenErrs:
			return err
		case <-n.hup:
			n.reload("a signal")
		case <-ticker.C:
			if n.file.changed() {
				n.reload("the file has changed")
			}
			_ = protect(n.logger, "clean-up", n.cleanUp)
		case <-ctx.Done():
			return nil
		}
	}
}

// cleanUp drops lapsed endpoints, closes pooled connections that lead to endpoints no longer listed or have been idle for too
// long, closes callers' connections that have been idle for too long, and updates the retry budget
// and the share of the bytes at endpoints as instances come and go.
func (n *node) cleanUp() {
	dropLapsedEndpoints(n.directory, n.logger)
	listed := n.directory.View().All()
	n.pool.Retain(func(k roster.Key) bool {
		e, ok := listed[k.ID]
		return ok && e.Entry().Key == k
	})
	n.closeIdleConns()
	n.updateRetryBudget()
	n.relay.SetEndpointShare(endpointBytesShare(n.liveInstances()))
}

// closeIdleConns closes callers' connections that have been idle for longer than the configuration allows.
func (n *node) closeIdleConns() {
	t := n.relay.Table()
	if t == nil {
		return
	}
	n.callerConns.SetIdleTimeout(t.Limits.IdleTimeout)
	if closed := n.callerConns.CloseExpired(); closed > 0 {
		n.logger.Info().Int("Connections", closed).Int64("TimeoutMillis", t.Limits.IdleTimeout.Milliseconds()).Int64("Version", int64(t.Version)).Msg("IdleConnectionsClosed")
	}
}

// updateRetryBudget applies the retry ratio of the settings in force and this instance's share of the retry slack.
func (n *node) updateRetryBudget() {
	bounds := n.settings.Load().Bounds
	n.relay.SetBudget(bounds.RetryRatio, n.slackShare.Slack(bounds.RetrySlack, time.Now(), n.liveInstances()))
}

// shutDown waits for unreadyDelay, so that the platform notices that the instance is not ready, and then until open requests have
// ended. Requests that still come on open connections are taken only if their deadline is early enough. Those that are still open
// stopMargin before the end of the grace period are ended with the cause relay.ErrStopping, and shutDown returns a
// *process.IncompleteShutdownError.
func (n *node) shutDown() error {
	deadline := time.Now().Add(n.settings.Load().Bounds.StopGrace - stopMargin)
	time.Sleep(unreadyDelay)
	n.relay.StopAt(deadline)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	err := n.callerConns.Shutdown(ctx)
	if err == nil {
		n.logger.Info().Msg("Stopped")
		return nil
	}
	n.endRequests(relay.ErrStopping)
	ctx, cancel = context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	if endErr := n.callerConns.Shutdown(ctx); endErr != nil {
		err = errors.Join(err, endErr)
	}
	n.logger.Warn().Err(err).Msg("Stopped")
	return &process.IncompleteShutdownError{What: "open requests"}
}

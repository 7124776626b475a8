package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/serving/membership"
	"cowslipshunt.example/serving/metering"
	"cowslipshunt.example/serving/peerload"
	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/retry"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/serving/truetime"
	"cowslipshunt.example/shared/lease"
	"cowslipshunt.example/shared/link"
	"cowslipshunt.example/shared/process"
	"cowslipshunt.example/wire"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
)

// Times of a stop.
const (
	// leaveTime is how long new connections still come after the instance is no longer ready: the platform asks once a second
	// and believes the second miss.
	leaveTime = 2500 * time.Millisecond
	// stopMargin is left of the grace for the last writes to the store.
	stopMargin = time.Second
)

// tidyEvery is how often idle connections and lapsed endpoints are looked at.
const tidyEvery = 500 * time.Millisecond

// node is one instance and what it consists of.
type node struct {
	// settings are the newest ones, which were read from file.
	settings  atomic.Pointer[platform.Settings]
	file      *settingsFile
	logger    *log.Logger
	self      lease.Identity
	directory *roster.Directory
	store     *platform.Store
	agreed    *truetime.Clock
	counter   *metering.Counter
	pool      *link.Pool[roster.Key]
	handoffs  *metering.Handoffs
	reports   *peerload.Reporter
	board     *peerload.Board
	relay     *relay.Relay
	front     *front
	idle      *idleConns
	peers     *peers
	share     *retry.Share
	// failed takes the error of a listener that ended.
	failed chan error
	hup    chan os.Signal
}

func newNode(s *platform.Settings, path string, logger *log.Logger) *node {
	clock := clockwork.NewRealClock()
	n := &node{
		file:      newSettingsFile(path),
		logger:    logger,
		self:      lease.Identity{Instance: s.Instance, Incarnation: wire.IncarnationId(uuid.NewString())},
		directory: roster.NewDirectory(),
		agreed:    truetime.New(bootClock{}.Monotonic, time.Now),
		pool:      link.NewPool[roster.Key](clock, link.DialEndpoint),
		idle:      newIdleConns(),
		share:     retry.NewShare(s.Bounds.RetryWindow, clock.Now()),
		failed:    make(chan error, listeners),
		hup:       make(chan os.Signal, 1),
	}
	n.settings.Store(s)
	n.store = platform.NewStore(s.StoreAddress, n.agreed.Observe)
	n.counter = metering.NewCounter(s.Bounds.UsageWindow, n.agreed.Now)
	n.handoffs = metering.NewHandoffs(n.self.Incarnation)
	n.reports = peerload.NewReporter(s.Instance, n.self.Incarnation, s.PeerAddress, n.directory)
	observer := decisions{logger: logger}
	n.board = peerload.NewBoard(s.Instance, n.directory, peerload.WithSuspected(observer.suspected))
	bounds := relay.BudgetBounds{Window: s.Bounds.RetryWindow, Ratio: s.Bounds.RetryRatio}
	courier := platform.NewCourier(n.pool, clock)
	n.relay = relay.New(n.directory, courier, n.counter, observer, clock, s.Domain, bounds, relay.WithLearned(n.reports.Used))
	n.front = &front{relay: n.relay, logger: logger}
	return n
}

// serve runs an instance until ctx ends.
func serve(ctx context.Context, s *platform.Settings, o options, logger *log.Logger) error {
	signal.Ignore(syscall.SIGPIPE)
	n := newNode(s, o.Settings, logger)
	// SIGHUP is taken until the process ends; by default it would end it.
	signal.Notify(n.hup, syscall.SIGHUP)
	var err error
	if n.peers, err = newPeers(n.self, s.PeerAddress, n.reports, n.board, n.handoffs, n.agreed.Now, n.logger); err != nil {
		return err
	}
	defer n.peers.close()
	work, stopWork := context.WithCancel(process.Hard(ctx))
	var last sync.WaitGroup
	defer last.Wait()
	defer stopWork()
	n.start(work, &last)
	server, err := n.listen(o)
	if err != nil {
		return err
	}
	logger.Info().Str("Caller", s.CallerAddress).Str("Domain", string(s.Domain)).Msg("Started")
	if err := n.watch(ctx); err != nil {
		return err
	}
	n.front.leaving.Store(true)
	logger.Info().Msg("Stopping")
	return stop(server, n.settings.Load().Bounds.StopGrace, logger)
}

// start begins what runs beside the callers' requests. What writes to the store once more at the end is added to last.
func (n *node) start(ctx context.Context, last *sync.WaitGroup) {
	s := n.settings.Load()
	go followConfiguration(n.store, n.relay, n.instances, n.logger).run(ctx)
	go followReplicas(n.store, n.directory, n.instances, n.logger).run(ctx)
	x := newDuties(dutyParts{
		settings: &n.settings, self: n.self, store: n.store, clock: n.agreed, counter: n.counter, relay: n.relay, directory: n.directory,
		reports: n.reports, board: n.board, logger: n.logger,
	})
	register := membership.NewRegister(n.store, s.Instance, s.Domain, s.PeerAddress, n.agreed.Now)
	last.Go(func() { x.run(ctx) })
	last.Go(func() { keepMembers(ctx, register, n.peers, n.logger) })
	u := &usageWriter{
		store: n.store, clock: n.agreed, counter: n.counter, instances: n.instances, logger: n.logger,
		writer: metering.NewWriter(n.store, n.counter, n.handoffs, n.peers, n.self.Instance, n.self.Incarnation),
	}
	last.Go(func() { u.run(ctx) })
}

// instances counts the instances alive, this one included.
func (n *node) instances() int {
	return len(n.peers.addresses()) + 1
}

// listeners is how many addresses an instance listens at for HTTP.
const listeners = 3

// listen opens the instance's addresses and returns the callers' server.
func (n *node) listen(o options) (*http.Server, error) {
	s := n.settings.Load()
	server := newFrontServer(n.front, n.idle)
	if err := listen(server, s.CallerAddress, n.failed); err != nil {
		return nil, err
	}
	ready := newReadyServer(func() bool { return n.relay.Table() != nil && !n.front.leaving.Load() })
	if err := listen(ready, s.ReadyAddress, n.failed); err != nil {
		return nil, err
	}
	if o.Metrics == "" {
		return server, nil
	}
	host, _, err := net.SplitHostPort(s.CallerAddress)
	if err != nil {
		return nil, err
	}
	return server, listen(process.NewServer(process.NewOperations().Router), net.JoinHostPort(host, o.Metrics), n.failed)
}

// watch tidies up until ctx ends, or returns the error of a listener.
func (n *node) watch(ctx context.Context) error {
	ticker := time.NewTicker(tidyEvery)
	defer ticker.Stop()
	for {
		select {
		case err := <-n.failed:
			return err
		case <-n.hup:
			n.reload("a signal")
		case <-ticker.C:
			if n.file.changed() {
				n.reload("the file has changed")
			}
			n.tidy()
		case <-ctx.Done():
			return nil
		}
	}
}

func listen(srv *http.Server, address string, failed chan<- error) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}()
	return nil
}

// tidy closes what is idle for too long, drops endpoints whose entries lapsed, and takes its share of the retry slack.
func (n *node) tidy() {
	settle(n.directory, n.logger)
	all := n.directory.View().All()
	n.pool.Retain(func(k roster.Key) bool {
		e, known := all[k.ID]
		return known && e.Entry().Key == k
	})
	if limit := n.front.limits().IdleTimeout; limit > 0 {
		n.idle.closeOlder(limit)
	}
	n.setBudget()
}

// setBudget gives the retry budgets the bounds of the newest settings and the instance's share of the slack.
func (n *node) setBudget() {
	bounds := n.settings.Load().Bounds
	n.relay.SetBudget(bounds.RetryRatio, n.share.Slack(bounds.RetrySlack, time.Now(), n.instances()))
}

// stop waits until the platform has noticed that the instance is not ready, and then until open requests have ended.
func stop(srv *http.Server, grace time.Duration, logger *log.Logger) error {
	deadline := time.Now().Add(grace - stopMargin)
	time.Sleep(leaveTime)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := srv.Shutdown(ctx); err != nil {
		logger.Warn().Err(err).Msg("Stopped")
		return &process.CutError{What: "open requests"}
	}
	logger.Info().Msg("Stopped")
	return nil
}

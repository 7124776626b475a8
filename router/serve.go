package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
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

// serve runs an instance until ctx ends.
func serve(ctx context.Context, s *platform.Settings, o options, logger *log.Logger) error {
	signal.Ignore(syscall.SIGPIPE)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	clock := clockwork.NewRealClock()
	directory := roster.NewDirectory()
	agreed := truetime.New(bootClock{}.Monotonic, time.Now)
	store := platform.NewStore(s.StoreAddress, agreed.Observe)
	pool := link.NewPool[roster.Key](clock, link.DialQuick)
	courier := platform.NewCourier(pool, clock)
	counter := metering.NewCounter(s.Bounds.UsageWindow, agreed.Now)
	bounds := relay.BudgetBounds{Window: s.Bounds.RetryWindow, Ratio: s.Bounds.RetryRatio}
	self := lease.Identity{Instance: s.Instance, Incarnation: wire.IncarnationId(uuid.NewString())}
	reporter := peerload.NewReporter(s.Instance, self.Incarnation, s.PeerAddress, directory)
	board := peerload.NewBoard(s.Instance, directory)
	r := relay.New(directory, courier, counter, decisions{logger: logger}, clock, s.Domain, bounds, relay.WithLearned(reporter.Used))

	work, stopWork := context.WithCancel(process.Hard(ctx))
	go followConfiguration(store, r, logger).run(work)
	go followReplicas(store, directory, logger).run(work)
	var last sync.WaitGroup
	defer last.Wait()
	defer stopWork()
	x := newDuties(s, store, agreed, counter, r, directory, reporter, board, self, logger)
	last.Go(func() { x.run(work) })
	peers, err := newPeers(work, s.PeerAddress, reporter, board, logger)
	if err != nil {
		return err
	}
	register := membership.NewRegister(store, s.Instance, s.Domain, s.PeerAddress, agreed.Now)
	last.Go(func() { keepMembers(work, register, peers, logger) })
	instances := func() int { return len(peers.addresses()) + 1 }
	last.Go(func() { writeUsage(work, store, agreed, counter, self, instances, logger) })
	share := retry.NewShare(s.Bounds.RetryWindow, s.Bounds.RetrySlack, time.Now())

	f := &front{relay: r, logger: logger}
	idle := newIdleConns()
	frontServer := newFrontServer(f, idle)
	readyServer := newReadyServer(func() bool { return r.Table() != nil && !f.leaving.Load() })
	failed := make(chan error, 3)
	if err := listen(frontServer, s.CallerAddress, failed); err != nil {
		return err
	}
	if err := listen(readyServer, s.ReadyAddress, failed); err != nil {
		return err
	}
	if o.Metrics != "" {
		host, _, err := net.SplitHostPort(s.CallerAddress)
		if err != nil {
			return err
		}
		server := process.NewServer(process.NewOperations().Router)
		if err := listen(server, net.JoinHostPort(host, o.Metrics), failed); err != nil {
			return err
		}
	}
	logger.Info().Str("Caller", s.CallerAddress).Str("Domain", string(s.Domain)).Msg("Started")
	ticker := time.NewTicker(tidyEvery)
	defer ticker.Stop()
	for {
		select {
		case err := <-failed:
			return err
		case <-hup:
			logger.Info().Msg("Reloaded")
		case <-ticker.C:
			tidy(directory, pool, f, idle, logger)
			r.SetSlack(share.Slack(time.Now(), instances()))
		case <-ctx.Done():
			f.leaving.Store(true)
			logger.Info().Msg("Stopping")
			return stop(frontServer, s.Bounds.StopGrace, logger)
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

// tidy closes what is idle for too long and drops endpoints whose entries lapsed.
func tidy(d *roster.Directory, pool *link.Pool[roster.Key], f *front, idle *idleConns, logger *log.Logger) {
	settle(d, logger)
	all := d.View().All()
	pool.Retain(func(k roster.Key) bool {
		e, known := all[k.ID]
		return known && e.Entry().Key == k
	})
	if limit := f.limits().IdleTimeout; limit > 0 {
		idle.closeOlder(limit)
	}
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

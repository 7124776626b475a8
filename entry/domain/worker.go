// Package domain gives orders to the endpoints of a failure domain while the domain's lease is held.
package domain

import (
	"context"
	"time"

	"cowslipshunt.example/shared/channel"
	"cowslipshunt.example/shared/drain"
	"cowslipshunt.example/shared/fleet"
	"cowslipshunt.example/shared/lease"
	"cowslipshunt.example/shared/order"
	"cowslipshunt.example/shared/platform"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
)

// Config configures a Worker.
type Config struct {
	Self         wire.Hello
	PeerSecret   channel.Secret
	Entries      []Entry
	Platform     *platform.Client
	Keeper       *lease.Keeper
	Sender       order.Sender
	Poller       *Poller
	OrderTimeout time.Duration
	Clock        clockwork.Clock
	Logger       *log.Logger
}

// Worker does the work of the holder of the domain lease, one tick at a time. It must be used by one goroutine at a time.
type Worker struct {
	cfg        Config
	platform   *platform.Client
	keeper     *lease.Keeper
	clock      clockwork.Clock
	logger     *log.Logger
	book       *order.Book
	drains     *drain.Tracker
	drainWaits map[wire.OrderId]*drainWait
	accepted   acceptedDocument

	// The fields below are reset or read again with each epoch of the lease.

	links *links // nil while the lease is not held
	// heldSince is when the links were opened.
	heldSince time.Time
	// sequence is the number of the last announcement of states, and announcedStates its content.
	sequence        int
	announcedStates []wire.EndpointState
	// notifiedVersion is the last version of the document that the entries were notified of.
	notifiedVersion wire.DocumentVersion
	// endpoints is the last list of endpoints that the platform returned. listedNow is set if it was read in this tick.
	endpoints []wire.EndpointRecord
	listedNow bool
	// polledStates contains the states of the engines that answered in this tick, latestStates the last state that each engine
	// answered with.
	polledStates map[wire.EndpointId]wire.EngineState
	latestStates map[wire.EndpointId]wire.EngineState
}

// NewWorker returns a worker that does nothing until its keeper holds the lease.
func NewWorker(cfg Config) *Worker {
	names := make([]wire.InstanceName, 0, len(cfg.Entries))
	for _, e := range cfg.Entries {
		names = append(names, e.Instance)
	}
	return &Worker{
		cfg:      cfg,
		platform: cfg.Platform,
		keeper:   cfg.Keeper,
		clock:    cfg.Clock,
		logger:   cfg.Logger,
		book: order.NewBook(cfg.Self.Domain, cfg.Self.Instance, cfg.Self.Incarnation, cfg.Platform, cfg.Keeper, cfg.Clock,
			order.WithTimeout(cfg.OrderTimeout)),
		drains:     drain.NewTracker(cfg.Clock, names),
		drainWaits: map[wire.OrderId]*drainWait{},
	}
}

// Tick reads the domain's state, advances its orders and announces changes to the entries. While the lease is not held, it only
// closes the links.
func (w *Worker) Tick(ctx context.Context) {
	epoch, ok := w.keeper.Guard(0)
	if !ok {
		w.Close()
		return
	}
	if err := w.ensureLinks(epoch); err != nil {
		w.logger.Error().Err(err).Msg("cannot open control links to the entries; retrying at the next tick")
		return
	}
	w.refresh(ctx)
	answers, linked := w.links.collect()
	w.updateDrains(answers)
	w.advanceOrders(ctx)
	w.announce(linked)
}

// Close closes the control links of the present epoch, if there are any.
func (w *Worker) Close() {
	if w.links == nil {
		return
	}
	w.logger.Info().Int("Epoch", int(w.links.epoch)).Msg("stopped giving orders to the domain's endpoints")
	w.links.close()
	w.links = nil
}

// ensureLinks opens control links and resets the state for an epoch, unless that has been done.
func (w *Worker) ensureLinks(epoch wire.Epoch) error {
	if w.links != nil && w.links.epoch == epoch {
		return nil
	}
	w.Close()
	self := w.cfg.Self
	self.Epoch = epoch
	l, err := dialLinks(self, w.cfg.PeerSecret, w.cfg.Entries, w.logger)
	if err != nil {
		return err
	}
	w.links, w.heldSince = l, w.clock.Now()
	w.sequence, w.announcedStates, w.notifiedVersion = 0, nil, 0
	w.endpoints, w.listedNow = nil, false
	w.latestStates = map[wire.EndpointId]wire.EngineState{}
	w.drains.Reset()
	clear(w.drainWaits)
	w.logger.Info().Int("Epoch", int(epoch)).Msg("lease held; giving orders to the domain's endpoints")
	return nil
}

// refresh reads the document, the platform's lists and the engines' states. What cannot be read stays as it was, except that
// polledStates contains only the engines that answered in this tick.
func (w *Worker) refresh(ctx context.Context) {
	w.logFailure("document", w.followDocument(ctx))
	endpoints, err := w.platform.Endpoints(ctx, w.cfg.Self.Domain)
	w.logFailure("endpoints", err)
	w.listedNow = err == nil
	if w.listedNow {
		w.endpoints = endpoints
	}
	w.polledStates = w.cfg.Poller.States(ctx, w.endpoints)
	for id, state := range w.polledStates {
		w.latestStates[id] = state
	}
	w.drains.SetLinks(w.links.hub.Links())
	instances, err := w.platform.Instances(ctx)
	w.logFailure("instances", err)
	if err == nil {
		w.drains.SetInstances(instances)
	}
}

// logFailure logs an error, if there is one, of a part of the tick.
func (w *Worker) logFailure(what string, err error) {
	if err != nil {
		w.logger.Warn().Err(err).Str("What", what).Msg("cannot complete this part of the domain's work; retrying at the next tick")
	}
}

// updateDrains passes drain answers and the links that are up now to the drain tracker.
func (w *Worker) updateDrains(answers []wire.DrainAnswer) {
	for _, a := range answers {
		w.drains.RecordAnswer(a)
	}
	w.drains.SetLinks(w.links.hub.Links())
}

// fleetView returns the input of the fleet's decisions, with the given states of engines.
func (w *Worker) fleetView(states map[wire.EndpointId]wire.EngineState) fleet.View {
	return fleet.View{
		Domain:    w.cfg.Self.Domain,
		Document:  w.accepted.document,
		Endpoints: w.endpoints,
		States:    states,
		Pending:   w.book.Pending(),
		TooSoon:   w.book.TooSoon,
	}
}

// Package domain orders the endpoints of one failure domain while the domain's lease is held.
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

// Config is what a worker works with.
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

// Worker does the work of a domain's lease holder, one tick at a time. It is for one goroutine.
type Worker struct {
	cfg      Config
	platform *platform.Client
	keeper   *lease.Keeper
	clock    clockwork.Clock
	logger   *log.Logger
	book     *order.Book
	drains   *drain.Tracker
	notes    map[wire.OrderId]*wait
	accepted accepted

	// These are of one term of office.
	links     *links
	sequence  int
	announced []wire.EndpointState
	notified  wire.DocumentVersion
	endpoints []wire.EndpointRecord
	listed    bool
	fresh     map[wire.EndpointId]wire.EngineState
	last      map[wire.EndpointId]wire.EngineState
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
		drains: drain.NewTracker(cfg.Clock, names),
		notes:  map[wire.OrderId]*wait{},
	}
}

// Tick does what is due now.
func (w *Worker) Tick(ctx context.Context) {
	epoch, ok := w.keeper.Guard(0)
	if !ok {
		w.Close()
		return
	}
	if err := w.open(epoch); err != nil {
		w.logger.Error().Err(err).Msg("cannot open control links")
		return
	}
	w.look(ctx)
	answers, up := w.links.take()
	w.follow(answers)
	w.order(ctx)
	w.announce(up)
}

// Close ends a term of office.
func (w *Worker) Close() {
	if w.links == nil {
		return
	}
	w.logger.Info().Int("Epoch", int(w.links.epoch)).Msg("term of office ended")
	w.links.close()
	w.links = nil
}

// open begins a term of office unless this epoch's has begun.
func (w *Worker) open(epoch wire.Epoch) error {
	if w.links != nil && w.links.epoch == epoch {
		return nil
	}
	w.Close()
	self := w.cfg.Self
	self.Epoch = epoch
	l, err := openLinks(self, w.cfg.PeerSecret, w.cfg.Entries, w.logger)
	if err != nil {
		return err
	}
	w.links = l
	w.sequence, w.announced, w.notified = 0, nil, 0
	w.endpoints, w.listed = nil, false
	w.last = map[wire.EndpointId]wire.EngineState{}
	w.drains.Reset()
	clear(w.notes)
	w.logger.Info().Int("Epoch", int(epoch)).Msg("term of office began")
	return nil
}

// look reads the document, the platform's lists and the engines' states. What can't be had stays as it was, but fresh
// holds only engines that answered now.
func (w *Worker) look(ctx context.Context) {
	w.report("document", w.followDocument(ctx))
	endpoints, err := w.platform.Endpoints(ctx, w.cfg.Self.Domain)
	w.report("endpoints", err)
	w.listed = err == nil
	if w.listed {
		w.endpoints = endpoints
	}
	w.fresh = w.cfg.Poller.States(ctx, w.endpoints)
	for id, state := range w.fresh {
		w.last[id] = state
	}
	w.drains.Links(w.links.hub.Links())
	instances, err := w.platform.Instances(ctx)
	w.report("instances", err)
	if err == nil {
		w.drains.Instances(instances)
	}
}

func (w *Worker) report(what string, err error) {
	if err != nil {
		w.logger.Warn().Err(err).Str("What", what).Msg("look-up failed")
	}
}

func (w *Worker) follow(answers []wire.DrainAnswer) {
	for _, a := range answers {
		w.drains.Answer(a)
	}
	w.drains.Links(w.links.hub.Links())
}

// view returns what the fleet's decisions need, with the given engines' states.
func (w *Worker) view(states map[wire.EndpointId]wire.EngineState) fleet.View {
	return fleet.View{
		Domain:    w.cfg.Self.Domain,
		Document:  w.accepted.document,
		Endpoints: w.endpoints,
		States:    states,
		Open:      w.book.Open(),
		Resting:   w.book.Resting,
	}
}

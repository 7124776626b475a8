package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"cowslipshunt.example/entry/admission"
	"cowslipshunt.example/entry/answer"
	"cowslipshunt.example/entry/billing"
	"cowslipshunt.example/entry/domain"
	"cowslipshunt.example/entry/duty"
	"cowslipshunt.example/entry/follower"
	"cowslipshunt.example/entry/operator"
	"cowslipshunt.example/entry/peer"
	"cowslipshunt.example/entry/service"
	"cowslipshunt.example/shared/booking"
	"cowslipshunt.example/shared/channel"
	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/shared/endpoint"
	"cowslipshunt.example/shared/platform"
	"cowslipshunt.example/shared/process"
	"cowslipshunt.example/shared/queue"
	"cowslipshunt.example/wire"
	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"
)

// Limits of a shutdown.
const (
	// flushTimeout bounds the last write of usage.
	flushTimeout = 30 * time.Second
	// abortedTimeout bounds the wait for the handlers of requests whose connections were closed at the shutdown's deadline;
	// abortedPollInterval is the interval between two checks whether they have ended.
	abortedTimeout      = 2 * time.Second
	abortedPollInterval = 10 * time.Millisecond
)

// program is a running entry.
type program struct {
	cfg        *settings
	logger     *log.Logger
	operations *process.Operations
	hub        *channel.Hub
	gate       *admission.Gate
	answers    *answer.Server
	services   *service.Server
	operators  *operator.Server
	recorder   *billing.Recorder
	current    *document.Current
	// duties is nil if the settings have NoDuties.
	duties *duty.Duties
}

// serve runs an entry until ctx ends, and then until the requests in flight are done and usage is written. It returns a
// process.IncompleteShutdownError if the shutdown ended before that.
func serve(ctx context.Context, cfg *settings, logger *log.Logger) error {
	background, stop := context.WithCancel(process.ForceContext(ctx))
	defer stop()
	p, err := newProgram(ctx, background, cfg, logger)
	if err != nil {
		return err
	}
	defer p.hub.Close()
	var duties sync.WaitGroup
	if p.duties != nil {
		duties.Go(func() { p.duties.Run(ctx) })
	}
	err = p.listen(ctx, background)
	duties.Wait()
	p.awaitAbortedRequests(clockwork.NewRealClock())
	stop()
	p.services.Wait()
	flush, cancel := context.WithTimeout(process.ForceContext(ctx), flushTimeout)
	defer cancel()
	if flushErr := p.recorder.Close(flush); flushErr != nil {
		err = errors.Join(err, &process.IncompleteShutdownError{What: fmt.Sprintf("usage that is not written to the table: %v", flushErr)})
	}
	logger.Info().Err(err).Msg("stopped")
	return err
}

// newProgram assembles an entry and starts all of it but its listeners and duties. What ends at the first signal uses ctx; what the
// last requests still need uses background.
func newProgram(ctx, background context.Context, cfg *settings, logger *log.Logger) (*program, error) {
	clock := clockwork.NewRealClock()
	self := wire.Hello{Instance: cfg.Instance, Incarnation: wire.IncarnationId(uuid.NewString()), Domain: cfg.Domain, Program: wire.ProgramEntry}
	store := platform.NewClient(cfg.Platform, platform.WithTimeout(millis(cfg.StoreTimeoutMillis)))
	p := &program{cfg: cfg, logger: logger, operations: process.NewOperations(), hub: channel.NewHub(self, logger, channel.WithSecret(cfg.PeerSecret))}
	queues := queue.NewSet(background, clock)
	p.current = document.NewCurrent()
	directory := endpoint.NewDirectory(endpoint.WithLimits(p.limitOf), endpoint.WithOnChange(queues.Wake))
	router, err := channel.NewRouter(logger)
	if err != nil {
		return nil, err
	}
	documents := follower.New(background, self, p.current, store, p.hub, clock, logger)
	p.current.OnChange(func(a *document.Accepted) {
		p.operations.SetReady(ctx.Err() == nil)
		documents.Announce(a)
	})
	p.recorder = billing.New(background, self, store, p.hub, clock, logger)
	p.gate = admission.NewGate(p.current, documents, cfg.MaxRequests, logger)
	control := peer.NewControl(background, self, p.hub, directory, queues, p.current, documents, clock, logger)
	forwarder := peer.NewForwarder(self, p.peers(), cfg.PeerSecret, p.hub, clock, millis(cfg.WholeMillis))
	claims := booking.NewClaims(store, self.Incarnation, clock)
	p.answers = answer.NewServer(p.gate, directory, queues, p.recorder, forwarder, clock, p.answerLimits())
	p.services = service.NewServer(process.ForceContext(ctx), p.gate, directory, queues, claims, p.recorder, forwarder, clock, p.serviceLimits())
	p.operators = operator.NewServer(operator.Dependencies{
		Self: self, Operators: p.operatorList(), Peers: p.peers(), Store: store, Current: p.current, Applier: documents,
		Control: control, Directory: directory, Linked: p.hub.Links, Clock: clock, Logger: logger,
	})
	documents.AddHandlers(router)
	control.AddHandlers(router)
	p.recorder.AddHandlers(router, p.hub)
	go func() {
		if err := router.Run(background); err != nil {
			logger.Error().Err(err).Msg("message router of the control links failed")
		}
	}()
	<-router.Running()
	if !cfg.NoDuties {
		p.duties = duty.New(p.dutyConfig(self), clock, p.operations, logger)
	}
	documents.Start()
	for _, peerCfg := range cfg.Peer {
		p.hub.Dial(background, peerCfg.Address)
	}
	return p, nil
}

// limitOf returns how many requests this entry may have in flight at an endpoint of a kind. It is zero before the
// first document.
func (p *program) limitOf(name wire.EndpointKindName) int {
	a := p.current.Load()
	if a == nil {
		return 0
	}
	kind, _ := a.Index.KindNamed(name)
	return kind.Concurrency
}

func (p *program) peers() []peer.Entry {
	var list []peer.Entry
	for _, peerCfg := range p.cfg.Peer {
		list = append(list, peer.Entry{Instance: peerCfg.Instance, Domain: peerCfg.Domain, Address: peerCfg.Address})
	}
	return list
}

// dutyConfig returns the configuration of the duties. It limits the timeout of their calls of the platform to that of an order.
func (p *program) dutyConfig(self wire.Hello) duty.Config {
	entries := []domain.Entry{{Instance: p.cfg.Instance, Address: p.cfg.PeerAddress}}
	for _, peerCfg := range p.cfg.Peer {
		if peerCfg.Domain == p.cfg.Domain {
			entries = append(entries, domain.Entry{Instance: peerCfg.Instance, Address: peerCfg.Address})
		}
	}
	return duty.Config{
		Instance:     p.cfg.Instance,
		Domain:       p.cfg.Domain,
		Incarnation:  self.Incarnation,
		Platform:     p.cfg.Platform,
		PeerSecret:   p.cfg.PeerSecret,
		Entries:      entries,
		LeaseTerm:    millis(p.cfg.LeaseTermMillis),
		OrderTimeout: millis(p.cfg.OrderTimeoutMillis),
		StoreTimeout: millis(min(p.cfg.StoreTimeoutMillis, p.cfg.OrderTimeoutMillis)),
		Tick:         millis(p.cfg.TickMillis),
		Window:       time.Duration(p.cfg.WindowSeconds) * time.Second,
	}
}

func (p *program) operatorList() []operator.Operator {
	var list []operator.Operator
	for _, o := range p.cfg.Operator {
		list = append(list, operator.Operator{Name: o.Name, TokenDigest: o.TokenDigest})
	}
	return list
}

func (p *program) answerLimits() answer.Limits {
	return answer.Limits{Body: millis(p.cfg.BodyMillis), Queue: millis(p.cfg.QueueMillis), Stall: millis(p.cfg.StallMillis), Total: millis(p.cfg.WholeMillis)}
}

func (p *program) serviceLimits() service.Limits {
	return service.Limits{
		Body:  millis(p.cfg.BodyMillis),
		Queue: millis(p.cfg.QueueMillis),
		Stall: millis(p.cfg.StallMillis),
		Total: millis(p.cfg.WholeMillis),
		Claim: millis(p.cfg.ClaimMillis),
		Store: millis(p.cfg.StoreMillis),
	}
}

// callerRoutes returns the callers' interface.
func (p *program) callerRoutes() http.Handler {
	router := chi.NewRouter()
	router.Post("/v1/chat/completions", p.answers.ServeChat)
	router.Post("/v1/completions", p.answers.ServeCompletion)
	router.Get("/v1/models", p.answers.ServeModels)
	router.HandleFunc("/services/{service}/*", p.services.ServeHTTP)
	return router
}

// peerRoutes returns the interface for peers and for the holder of the domain lease. All requests need the shared secret.
func (p *program) peerRoutes() http.Handler {
	router := chi.NewRouter()
	router.Use(p.cfg.PeerSecret.Guard)
	router.Handle("/control", p.hub)
	router.Route(peer.PathForward, func(router chi.Router) {
		router.Post("/v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { p.answers.ServeForwarded(w, r, true) })
		router.Post("/v1/completions", func(w http.ResponseWriter, r *http.Request) { p.answers.ServeForwarded(w, r, false) })
		router.HandleFunc("/services/{service}/*", p.services.ServeForwarded)
	})
	return router
}

// listen serves all addresses until ctx ends. It then reports the entry as not ready, accepts requests for LeaveMillis more, and
// waits up to StopMillis for those in flight. Operations are served until background ends.
func (p *program) listen(ctx, background context.Context) error {
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	group, _ := errgroup.WithContext(background)
	listeners := []struct {
		address string
		handler http.Handler
		until   context.Context
	}{
		{p.cfg.Address, p.callerRoutes(), serving},
		{p.cfg.OperatorAddress, p.operators.Router(), serving},
		{p.cfg.PeerAddress, p.peerRoutes(), serving},
		{p.cfg.OperationsAddress, p.operations.Router, background},
	}
	for _, l := range listeners {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		if l.until == background {
			go func() { _ = process.Serve(background, process.NewServer(l.handler), listener, time.Second) }()
			continue
		}
		group.Go(func() error {
			return process.Serve(l.until, process.NewServer(l.handler), listener, millis(p.cfg.StopMillis))
		})
	}
	p.logger.Info().Str("Address", p.cfg.Address).Str("Domain", string(p.cfg.Domain)).Msg("serving")
	<-ctx.Done()
	p.operations.SetReady(false)
	p.logger.Info().Int("Inside", int(p.gate.InFlight())).Msg("stopping")
	select {
	case <-time.After(millis(p.cfg.LeaveMillis)):
	case <-process.ForceContext(ctx).Done():
	}
	stopServing()
	return p.shutdownError(group.Wait())
}

// awaitAbortedRequests waits at most abortedTimeout until the requests whose connections were closed have ended, so that the last
// usage totals include what they delivered.
func (p *program) awaitAbortedRequests(clock clockwork.Clock) {
	deadline := clock.After(abortedTimeout)
	ticker := clock.NewTicker(abortedPollInterval)
	defer ticker.Stop()
	for p.gate.InFlight() > 0 {
		select {
		case <-ticker.Chan():
		case <-deadline:
			return
		}
	}
}

// shutdownError replaces the error of a shutdown that ended early by one that says what was ended.
func (p *program) shutdownError(err error) error {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return &process.IncompleteShutdownError{What: "open requests"}
	}
	return err
}

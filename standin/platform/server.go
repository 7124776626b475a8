package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"cowslipshunt.example/shared/process"
	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"
)

// stopGrace is how long a stopping server waits for calls in flight.
const stopGrace = 10 * time.Second

// Server runs the platform's interfaces and the operations listener.
type Server struct {
	cfg    *Settings
	logger *log.Logger
	clock  clockwork.Clock
}

// NewServer returns a server that starts to listen in Run.
func NewServer(cfg *Settings, logger *log.Logger, clock clockwork.Clock) *Server {
	return &Server{cfg: cfg, logger: logger, clock: clock}
}

// Run serves until ctx ends, then waits up to stopGrace for calls in flight. It returns a process.IncompleteShutdownError if
// some of them had not ended by then.
func (s *Server) Run(ctx context.Context) error {
	api, err := net.Listen("tcp", s.cfg.Address)
	if err != nil {
		return fmt.Errorf("listen on Address %s for the interfaces: %w", s.cfg.Address, err)
	}
	defer api.Close()
	operations, err := net.Listen("tcp", s.cfg.OperationsAddress)
	if err != nil {
		return fmt.Errorf("listen on OperationsAddress %s: %w", s.cfg.OperationsAddress, err)
	}
	defer operations.Close()
	s.logger.Info().Stringer("Address", api.Addr()).Stringer("OperationsAddress", operations.Addr()).
		Int("Endpoints", len(s.cfg.Endpoint)).Msg("listening")
	return s.finish(s.serve(ctx, api, operations))
}

// serve serves on both listeners. The operations listener is closed after the interfaces have stopped.
func (s *Server) serve(ctx context.Context, apiListener, operationsListener net.Listener) error {
	operationsCtx, stopOperations := context.WithCancel(context.WithoutCancel(ctx))
	defer stopOperations()
	g, ctx := errgroup.WithContext(ctx)
	operations := process.NewOperations()
	operations.SetReady(true)
	stopUnready := context.AfterFunc(ctx, func() { operations.SetReady(false) })
	defer stopUnready()
	api := process.NewServer(NewAPI(s.cfg, s.clock, WithStop(ctx.Done())))
	api.BaseContext = func(net.Listener) context.Context { return ctx }
	g.Go(func() error {
		defer stopOperations()
		return process.Serve(ctx, api, apiListener, stopGrace)
	})
	g.Go(func() error {
		return process.Serve(operationsCtx, process.NewServer(operations.Router), operationsListener, stopGrace)
	})
	return g.Wait()
}

func (s *Server) finish(err error) error {
	switch {
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		err = &process.IncompleteShutdownError{What: "calls in flight"}
	case err == nil, errors.Is(err, http.ErrServerClosed):
		s.logger.Info().Msg("stopped")
		return nil
	}
	s.logger.Error().Err(err).Msg("stopped")
	return err
}

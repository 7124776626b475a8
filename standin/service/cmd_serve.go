package main

import (
	"context"

	"cowslipshunt.example/shared/command"
	"cowslipshunt.example/shared/process"
	"cowslipshunt.example/shared/standin"
	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
	"github.com/spf13/cobra"
)

func newServeCommand() *cobra.Command {
	cfg := settings{LogLevel: defaultLogLevel}
	return command.NewServe(programName, "serve bookings until a signal", &cfg, func(cmd *cobra.Command) error {
		logger := process.NewLogger(cmd.ErrOrStderr(), cfg.LogLevel, programName, string(cfg.Endpoint))
		return serve(cmd.Context(), cfg, logger)
	})
}

func serve(ctx context.Context, cfg settings, logger *log.Logger) error {
	s := newService(withClock(clockwork.NewRealClock()), withLogger(logger))
	srv := process.NewServer(s.router())
	srv.ConnContext = countRequests
	logger.Info().Str("Address", cfg.Address).Msg("service started; serving bookings")
	err := cfg.listeners().Serve(ctx, srv, process.NewOperations())
	logger.Info().Err(err).Msg("stopped")
	return err
}

func (s *settings) listeners() standin.Listeners {
	return standin.Listeners{Address: s.Address, OperationsAddress: s.OperationsAddress}
}

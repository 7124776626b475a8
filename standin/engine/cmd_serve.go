package main

import (
	"context"

	"cowslipshunt.example/shared/command"
	"cowslipshunt.example/shared/process"
	"cowslipshunt.example/shared/standin"
	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
	"github.com/spf13/cobra"
)

func newServeCommand() *cobra.Command {
	cfg := defaultSettings()
	return command.NewServe(programName, "serve completions until a signal", &cfg, func(cmd *cobra.Command) error {
		logger := process.NewLogger(cmd.ErrOrStderr(), cfg.LogLevel, programName, string(cfg.Endpoint))
		return serve(cmd.Context(), cfg, logger)
	})
}

func serve(ctx context.Context, cfg settings, logger *log.Logger) error {
	e := newEngine(cfg, withClock(clockwork.NewRealClock()), withLogger(logger))
	defer e.close()
	metrics.RegisterSet(e.counters.set)
	logger.Info().Str("Address", cfg.Address).Str("Model", string(cfg.Model)).Msg("engine started; serving completions")
	listeners := standin.Listeners{Address: cfg.Address, OperationsAddress: cfg.OperationsAddress}
	err := listeners.Serve(ctx, process.NewServer(e.router()), process.NewOperations())
	logger.Info().Err(err).Msg("stopped")
	return err
}

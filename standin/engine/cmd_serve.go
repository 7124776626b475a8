package main

import (
	"context"
	"os"

	"cowslipshunt.example/shared/process"
	"cowslipshunt.example/shared/setting"
	"cowslipshunt.example/shared/standin"
	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"
)

func newServeCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "serve completions until a signal",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd.Context(), path)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

func serve(ctx context.Context, path string) error {
	cfg := defaultSettings()
	if err := setting.Load(path, &cfg); err != nil {
		return err
	}
	logger := process.NewLogger(os.Stderr, cfg.LogLevel, "standin-engine", string(cfg.Endpoint))
	e := newEngine(cfg, withClock(clockwork.NewRealClock()), withLogger(logger))
	defer e.close()
	metrics.RegisterSet(e.meters.set)
	logger.Info().Str("Address", cfg.Address).Str("Model", string(cfg.Model)).Msg("serving")
	listeners := standin.Listeners{Address: cfg.Address, OperationsAddress: cfg.OperationsAddress}
	err := listeners.Serve(ctx, process.NewServer(e.router()), process.NewOperations())
	logger.Info().Err(err).Msg("stopped")
	return err
}

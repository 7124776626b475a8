package main

import (
	"context"
	"os"

	"cowslipshunt.example/shared/process"
	"cowslipshunt.example/shared/setting"
	"cowslipshunt.example/shared/standin"
	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"
)

func newServeCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "serve bookings until a signal",
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
	cfg := settings{LogLevel: defaultLogLevel}
	if err := setting.Load(path, &cfg); err != nil {
		return err
	}
	logger := process.NewLogger(os.Stderr, cfg.LogLevel, "standin-service", string(cfg.Endpoint))
	s := newService(withClock(clockwork.NewRealClock()), withLogger(logger))
	srv := process.NewServer(s.router())
	srv.ConnContext = countRequests
	logger.Info().Str("Address", cfg.Address).Msg("serving")
	err := cfg.listeners().Serve(ctx, srv, process.NewOperations())
	logger.Info().Err(err).Msg("stopped")
	return err
}

func (s *settings) listeners() standin.Listeners {
	return standin.Listeners{Address: s.Address, OperationsAddress: s.OperationsAddress}
}

package main

import (
	"errors"

	"cowslipshunt.example/shared/process"
	"cowslipshunt.example/shared/setting"
	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"
)

var errNoSettings = errors.New("--settings is missing")

func newServeCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "serve the platform's interfaces",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if file == "" {
				return &process.InputError{Err: errNoSettings}
			}
			cfg := NewSettings()
			if err := setting.Load(file, cfg); err != nil {
				return err
			}
			logger := process.NewLogger(cmd.ErrOrStderr(), cfg.LogLevel, cmd.Root().Name(), cfg.Instance)
			return NewServer(cfg, logger, clockwork.NewRealClock()).Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings file (TOML)")
	return cmd
}

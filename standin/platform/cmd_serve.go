package main

import (
	"cowslipshunt.example/shared/process"
	"cowslipshunt.example/shared/setting"
	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"
)

func newServeCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "serve the platform's interfaces",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg := NewSettings()
			if err := setting.Load(file, cfg); err != nil {
				return err
			}
			logger := process.NewLogger(cmd.ErrOrStderr(), cfg.LogLevel, cmd.Root().Name(), cfg.Instance)
			return NewServer(cfg, logger, clockwork.NewRealClock()).Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings file (TOML)")
	cobra.CheckErr(cmd.MarkFlagRequired("settings"))
	return cmd
}

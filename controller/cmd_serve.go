package main

import (
	"cowslipshunt.example/shared/process"
	"cowslipshunt.example/shared/setting"
	"github.com/spf13/cobra"
)

func newServeCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "keep leases, give orders and report usage windows",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg := defaultSettings()
			if err := setting.Load(path, &cfg); err != nil {
				return err
			}
			logger := process.NewLogger(cmd.ErrOrStderr(), cfg.LogLevel, "controller", string(cfg.Instance))
			return newController(cfg, logger).serve(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&path, "settings", "controller.toml", "settings file")
	return cmd
}

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
		Short: "serve callers until a signal",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg := &settings{}
			if err := setting.Load(path, cfg); err != nil {
				return err
			}
			logger := process.NewLogger(cmd.ErrOrStderr(), cfg.LogLevel, "entry", string(cfg.Instance))
			return serve(cmd.Context(), cfg, logger)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "entry.toml", "the settings file")
	return cmd
}

package main

import (
	"cowslipshunt.example/shared/command"
	"cowslipshunt.example/shared/process"
	"cowslipshunt.example/shared/setting"
	"github.com/spf13/cobra"
)

func newServeCommand() *cobra.Command {
	cfg := defaultSettings()
	return command.NewServe(programName, "keep leases, give orders and report usage windows", &cfg, func(cmd *cobra.Command) error {
		logger := process.NewLogger(cmd.ErrOrStderr(), cfg.LogLevel, programName, string(cfg.Instance))
		return newController(cfg, logger).serve(cmd.Context())
	})
}

// checkedSettings returns settings with their defaults, to be checked only.
func checkedSettings() setting.Checker {
	cfg := defaultSettings()
	return &cfg
}

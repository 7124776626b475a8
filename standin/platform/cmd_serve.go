package main

import (
	"cowslipshunt.example/shared/command"
	"cowslipshunt.example/shared/process"
	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"
)

func newServeCommand() *cobra.Command {
	cfg := NewSettings()
	return command.NewServe(programName, "serve the platform's interfaces until a signal", cfg, func(cmd *cobra.Command) error {
		logger := process.NewLogger(cmd.ErrOrStderr(), cfg.LogLevel, programName, cfg.Instance)
		return NewServer(cfg, logger, clockwork.NewRealClock()).Run(cmd.Context())
	})
}

package main

import (
	"cowslipshunt.example/shared/command"
	"cowslipshunt.example/shared/process"
	"github.com/spf13/cobra"
)

func newServeCommand() *cobra.Command {
	cfg := &settings{}
	return command.NewServe(programName, "serve callers until a signal", cfg, func(cmd *cobra.Command) error {
		logger := process.NewLogger(cmd.ErrOrStderr(), cfg.LogLevel, programName, string(cfg.Instance))
		return serve(cmd.Context(), cfg, logger)
	})
}

package main

import (
	"os"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/shared/command"
	"github.com/spf13/cobra"
)

// options are the flags of the serve command.
type options struct {
	// Settings is the path of the settings file.
	Settings string
	// Metrics is the port at which metrics are served, or empty for none.
	Metrics  string
	LogLevel string
}

func newServeCommand() *cobra.Command {
	var o options
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "serve callers until SIGTERM or SIGINT",
		Long: "serve reads the settings file that the environment variable " + platform.SettingsVariable +
			" names, and serves callers until SIGTERM or SIGINT. It reads the file again when the file has changed, and at SIGHUP.",
		Args: command.InputArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			o.Settings = os.Getenv(platform.SettingsVariable)
			settings, err := platform.LoadSettings(o.Settings)
			if err != nil {
				return err
			}
			limitHeap(settings.MemoryBytes)
			return serve(cmd.Context(), settings, o, newLogger(cmd.OutOrStdout(), o.LogLevel, settings.Instance))
		},
	}
	cmd.Flags().StringVar(&o.Metrics, "metrics", "", "serve metrics at `PORT` of the instance's address; empty serves none")
	cmd.Flags().StringVar(&o.LogLevel, "log-level", "info", "log level: debug, info, warn or error")
	return cmd
}

package main

import (
	"fmt"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/shared/command"
	"github.com/spf13/cobra"
)

func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "check a settings file",
		Args:  command.InputArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := platform.LoadSettings(args[0]); err != nil {
				return err
			}
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: no findings\n", args[0])
			return err
		},
	}
}

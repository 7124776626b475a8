package main

import (
	"fmt"

	"cowslipshunt.example/shared/setting"
	"github.com/spf13/cobra"
)

func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "check a settings file",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := setting.Load(args[0], &settings{}); err != nil {
				return err
			}
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: no findings\n", args[0])
			return err
		},
	}
}

package main

import (
	"cowslipshunt.example/shared/command"
	"fmt"

	"cowslipshunt.example/shared/document"
	"github.com/spf13/cobra"
)

func newKeyNewCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "new",
		Short: "print a new random key or token",
		Long:  "Print a new random key or token without submitting anything, for an operator's token or for the first document.",
		Args:  command.InputArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), document.NewKey())
			return err
		},
	}
}

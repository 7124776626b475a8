package main

import (
	"cowslipshunt.example/shared/command"
	"github.com/spf13/cobra"
)

func newDocumentHistoryCommand(flags *globalFlags) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "history",
		Short: "show who submitted which version and why",
		Args:  command.InputArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			answer, err := client.History(cmd.Context())
			if err != nil {
				return err
			}
			return printAudit(cmd, answer)
		},
	}
	addJSONFlag(cmd)
	return cmd
}

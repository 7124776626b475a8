package main

import (
	"cowslipshunt.example/shared/command"
	"github.com/spf13/cobra"
)

func newKeyCommand(flags *globalFlags) *cobra.Command {
	return command.NewGroup("key", "issue and withdraw keys", newKeyIssueCommand(flags), newKeyWithdrawCommand(flags), newKeyNewCommand(), newKeyDigestCommand())
}

// addKeyFlags adds the flags that the commands issue and withdraw share.
func addKeyFlags(cmd *cobra.Command, e *keyEdit) {
	cmd.Flags().StringVar((*string)(&e.workspace), "workspace", "", "name `W` of the key's workspace")
	cmd.Flags().StringVar(&e.label, "label", "", "label `L` of the key within its workspace")
	cmd.Flags().StringVar(&e.why, "why", "", "reason recorded in the audit, as `TEXT`")
}

package main

import (
	"cowslipshunt.example/shared/command"
	"github.com/spf13/cobra"
)

func newKeyCommand(s *session) *cobra.Command {
	return command.NewGroup("key", "issue and withdraw keys", newKeyIssueCommand(s), newKeyWithdrawCommand(s), newKeyNewCommand(), newKeyDigestCommand())
}

// addKeyFlags adds the flags that both key commands need.
func addKeyFlags(cmd *cobra.Command, e *edit) {
	cmd.Flags().StringVar((*string)(&e.workspace), "workspace", "", "name `W` of the key's workspace")
	cmd.Flags().StringVar(&e.label, "label", "", "label `L` of the key within its workspace")
	cmd.Flags().StringVar(&e.why, "why", "", "reason, for the audit, as `TEXT`")
}

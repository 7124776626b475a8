package main

import (
	"cowslipshunt.example/shared/command"
	"fmt"
	"slices"

	"cowslipshunt.example/shared/document"
	"github.com/spf13/cobra"
)

func newKeyWithdrawCommand(flags *globalFlags) *cobra.Command {
	e := &keyEdit{}
	cmd := &cobra.Command{
		Use:   "withdraw --workspace W --label L --why TEXT",
		Short: "withdraw a key",
		Long: "Withdraw a key: remove its digest from the document in force and submit the document. After a conflict the command\n" +
			"retries on the new version, at most three times. The key is rejected wherever the new version is in force; failure\n" +
			"domains that have not confirmed it are listed.",
		Args: command.InputArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return withdrawKey(cmd, flags, e)
		},
	}
	addKeyFlags(cmd, e)
	return cmd
}

func withdrawKey(cmd *cobra.Command, flags *globalFlags, e *keyEdit) error {
	if err := requireFlags(cmd, "workspace", "label", "why"); err != nil {
		return err
	}
	client, err := flags.client()
	if err != nil {
		return err
	}
	e.change = func(w *document.Workspace) error {
		n := len(w.Key)
		w.Key = slices.DeleteFunc(w.Key, e.hasLabel)
		if len(w.Key) == n {
			return inputError("workspace %s has no key %s", e.workspace, e.label)
		}
		return nil
	}
	answer, err := e.submit(cmd.Context(), client)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "version %d\n", answer.Version)
	printDomains(cmd, answer)
	return err
}

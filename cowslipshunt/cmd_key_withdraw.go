package main

import (
	"cowslipshunt.example/shared/command"
	"fmt"
	"slices"

	"cowslipshunt.example/shared/document"
	"github.com/spf13/cobra"
)

func newKeyWithdrawCommand(s *session) *cobra.Command {
	e := &edit{}
	cmd := &cobra.Command{
		Use:   "withdraw --workspace W --label L --why TEXT",
		Short: "withdraw a key",
		Long: "Withdraw a key: take its digest out of the document in force and submit that. After a conflict it tries again on\n" +
			"the new version, three times at most. The key is refused where the new version is in force; the failure domains\n" +
			"that have not confirmed it are named.",
		Args: command.Input(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return withdrawKey(cmd, s, e)
		},
	}
	addKeyFlags(cmd, e)
	return cmd
}

func withdrawKey(cmd *cobra.Command, s *session, e *edit) error {
	if err := need(cmd, "workspace", "label", "why"); err != nil {
		return err
	}
	client, err := s.client()
	if err != nil {
		return err
	}
	e.change = func(w *document.Workspace) error {
		n := len(w.Key)
		w.Key = slices.DeleteFunc(w.Key, e.isLabelled)
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
	remarkDomains(cmd, answer)
	return err
}

package main

import (
	"cowslipshunt.example/shared/command"
	"errors"
	"fmt"
	"slices"

	"cowslipshunt.example/shared/console"
	"cowslipshunt.example/shared/document"
	"github.com/spf13/cobra"
)

func newKeyIssueCommand(s *session) *cobra.Command {
	e := &edit{}
	cmd := &cobra.Command{
		Use:   "issue --workspace W --label L --why TEXT",
		Short: "issue a key and print it once",
		Long: "Issue a key: put its digest into the document in force, submit that, and print the key to standard output. The\n" +
			"key is stored nowhere. After a conflict it tries again on the new version, three times at most.",
		Args: command.Input(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return issueKey(cmd, s, e)
		},
	}
	addKeyFlags(cmd, e)
	return cmd
}

func issueKey(cmd *cobra.Command, s *session, e *edit) error {
	if err := need(cmd, "workspace", "label", "why"); err != nil {
		return err
	}
	client, err := s.client()
	if err != nil {
		return err
	}
	key := document.NewKey()
	e.change = func(w *document.Workspace) error {
		if slices.ContainsFunc(w.Key, e.isLabelled) {
			return inputError("workspace %s already has a key %s", e.workspace, e.label)
		}
		w.Key = append(w.Key, document.Key{Digest: document.KeyDigest(key), Label: e.label})
		return nil
	}
	answer, err := e.submit(cmd.Context(), client)
	var unsure *console.UnsureError
	if errors.As(err, &unsure) {
		return fmt.Errorf("the key is not printed; if the document has its label, withdraw it: %w", err)
	}
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintln(cmd.OutOrStdout(), key); err != nil {
		return fmt.Errorf("the key is in force but could not be printed, withdraw it: %w", err)
	}
	remark(cmd, "version %d", answer.Version)
	remarkDomains(cmd, answer)
	return nil
}

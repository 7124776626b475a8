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

func newKeyIssueCommand(flags *globalFlags) *cobra.Command {
	e := &keyEdit{}
	cmd := &cobra.Command{
		Use:   "issue --workspace W --label L --why TEXT",
		Short: "issue a key and print it once",
		Long: "Issue a key: add its digest to the document in force, submit the document, and print the key to standard output.\n" +
			"The key itself is not stored. After a conflict the command retries on the new version, at most three times.",
		Args: command.InputArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return issueKey(cmd, flags, e)
		},
	}
	addKeyFlags(cmd, e)
	return cmd
}

func issueKey(cmd *cobra.Command, flags *globalFlags, e *keyEdit) error {
	if err := requireFlags(cmd, "workspace", "label", "why"); err != nil {
		return err
	}
	client, err := flags.client()
	if err != nil {
		return err
	}
	key := document.NewKey()
	e.change = func(w *document.Workspace) error {
		if slices.ContainsFunc(w.Key, e.hasLabel) {
			return inputError("workspace %s already has a key %s", e.workspace, e.label)
		}
		w.Key = append(w.Key, document.Key{Digest: document.KeyDigest(key), Label: e.label})
		return nil
	}
	answer, err := e.submit(cmd.Context(), client)
	var unknown *console.OutcomeUnknownError
	if errors.As(err, &unknown) {
		return fmt.Errorf("the submission may have taken effect, so the key was not printed; if the document contains its label, withdraw the key: %w", err)
	}
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintln(cmd.OutOrStdout(), key); err != nil {
		return fmt.Errorf("the key is in force but could not be printed; withdraw it: %w", err)
	}
	printNote(cmd, "version %d", answer.Version)
	printDomains(cmd, answer)
	return nil
}

package main

import (
	"cowslipshunt.example/shared/command"
	"fmt"
	"strings"

	"cowslipshunt.example/wire"
	"github.com/spf13/cobra"
)

func newDocumentSubmitCommand(flags *globalFlags) *cobra.Command {
	r := wire.SubmitRequest{}
	cmd := &cobra.Command{
		Use:   "submit FILE --base N --why TEXT",
		Short: "submit a document",
		Long: "Submit a document, naming the version it is based on. It is checked locally first, then by the entry. If another\n" +
			"version is in force, nothing is changed, and the changes since the base version are printed.",
		Args: command.InputArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			r.File = args[0]
			return submitFile(cmd, flags, r)
		},
	}
	cmd.Flags().IntVar((*int)(&r.BaseVersion), "base", 0, "version `N` that the document is based on; 0 for the first document")
	cmd.Flags().StringVar(&r.Why, "why", "", "reason recorded in the audit, as `TEXT`")
	return cmd
}

func submitFile(cmd *cobra.Command, flags *globalFlags, r wire.SubmitRequest) error {
	if err := requireFlags(cmd, "base", "why"); err != nil {
		return err
	}
	if r.BaseVersion < 0 {
		return inputError("--base: %d is negative", r.BaseVersion)
	}
	text, _, err := readDocument(r.File)
	if err != nil {
		return err
	}
	client, err := flags.client()
	if err != nil {
		return err
	}
	r.Text = string(text)
	answer, err := client.Submit(cmd.Context(), r)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "version %d\n", answer.Version)
	printDomains(cmd, answer)
	return err
}

// printDomains prints the failure domains that have confirmed a version, and those that have not.
func printDomains(cmd *cobra.Command, answer wire.SubmitAnswer) {
	printNote(cmd, "in force in: %s", joinDomains(answer.Confirmed))
	if len(answer.Unconfirmed) > 0 {
		printNote(cmd, "accepted, but not confirmed in: %s; see cowslipshunt status", joinDomains(answer.Unconfirmed))
	}
}

func joinDomains(list []wire.DomainName) string {
	if len(list) == 0 {
		return "no domain yet"
	}
	names := make([]string, 0, len(list))
	for _, d := range list {
		names = append(names, quoteUnprintable(string(d)))
	}
	return strings.Join(names, ", ")
}

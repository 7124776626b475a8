package main

import (
	"cowslipshunt.example/shared/command"
	"fmt"
	"strings"

	"cowslipshunt.example/wire"
	"github.com/spf13/cobra"
)

func newDocumentSubmitCommand(s *session) *cobra.Command {
	r := wire.SubmitRequest{}
	cmd := &cobra.Command{
		Use:   "submit FILE --base N --why TEXT",
		Short: "submit a document",
		Long: "Submit a document on the version it was written from. It is checked here first, then by the entry. If another\n" +
			"version is in force, nothing is changed, and what has changed since the base version is printed.",
		Args: command.Input(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			r.File = args[0]
			return submitFile(cmd, s, r)
		},
	}
	cmd.Flags().IntVar((*int)(&r.BaseVersion), "base", 0, "version `N` that the document was written from; 0 for the first document")
	cmd.Flags().StringVar(&r.Why, "why", "", "reason, for the audit, as `TEXT`")
	return cmd
}

func submitFile(cmd *cobra.Command, s *session, r wire.SubmitRequest) error {
	if err := need(cmd, "base", "why"); err != nil {
		return err
	}
	if r.BaseVersion < 0 {
		return inputError("--base: %d is negative", r.BaseVersion)
	}
	text, _, err := readDocument(r.File)
	if err != nil {
		return err
	}
	client, err := s.client()
	if err != nil {
		return err
	}
	r.Text = string(text)
	answer, err := client.Submit(cmd.Context(), r)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "version %d\n", answer.Version)
	remarkDomains(cmd, answer)
	return err
}

// remarkDomains tells where a version is known to be in force.
func remarkDomains(cmd *cobra.Command, answer wire.SubmitAnswer) {
	remark(cmd, "in force in: %s", domains(answer.Confirmed))
	if len(answer.Unconfirmed) > 0 {
		remark(cmd, "accepted, but not confirmed in: %s; see cowslipshunt status", domains(answer.Unconfirmed))
	}
}

func domains(list []wire.DomainName) string {
	if len(list) == 0 {
		return "no domain yet"
	}
	names := make([]string, 0, len(list))
	for _, d := range list {
		names = append(names, safe(string(d)))
	}
	return strings.Join(names, ", ")
}

package main

import (
	"cowslipshunt.example/shared/command"
	"fmt"
	"os"

	"cowslipshunt.example/shared/document"
	"github.com/spf13/cobra"
)

func newDocumentCommand(s *session) *cobra.Command {
	return command.NewGroup("document", "check, submit and show the document",
		newDocumentCheckCommand(), newDocumentSubmitCommand(s),
		newDocumentShowCommand(s), newDocumentDiffCommand(s), newDocumentHistoryCommand(s))
}

// readDocument reads and checks a file; its error is an InputError or a finding.List.
func readDocument(file string) ([]byte, *document.Document, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, inputError("%w", err)
	}
	d, err := document.Parse(file, text)
	return text, d, err
}

// remark writes a line to standard error.
func remark(cmd *cobra.Command, format string, args ...any) {
	fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", args...)
}

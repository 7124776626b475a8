package main

import (
	"cowslipshunt.example/shared/command"
	"fmt"
	"os"

	"cowslipshunt.example/shared/document"
	"github.com/spf13/cobra"
)

func newDocumentCommand(flags *globalFlags) *cobra.Command {
	return command.NewGroup("document", "check, submit and show the document",
		newDocumentCheckCommand(), newDocumentSubmitCommand(flags),
		newDocumentShowCommand(flags), newDocumentDiffCommand(flags), newDocumentHistoryCommand(flags))
}

// readDocument reads and checks a document file. It returns an InputError if the file cannot be read, or a finding.List.
func readDocument(file string) ([]byte, *document.Document, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, inputError("%w", err)
	}
	d, err := document.Parse(file, text)
	return text, d, err
}

// printNote writes a line to standard error, so that standard output holds only results.
func printNote(cmd *cobra.Command, format string, args ...any) {
	fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", args...)
}

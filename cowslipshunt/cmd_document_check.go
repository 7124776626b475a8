package main

import (
	"cowslipshunt.example/shared/command"
	"github.com/spf13/cobra"
)

func newDocumentCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "check a document locally",
		Long:  "Check a document locally, without contacting an entry. Every finding is printed with its file, line, column and field.",
		Args:  command.InputArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, _, err := readDocument(args[0]); err != nil {
				return err
			}
			printNote(cmd, "%s: no findings", args[0])
			return nil
		},
	}
}

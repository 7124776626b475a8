package main

import (
	"cowslipshunt.example/shared/command"
	"io"

	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/wire"
	"github.com/spf13/cobra"
)

func newDocumentShowCommand(flags *globalFlags) *cobra.Command {
	version := 0
	cmd := &cobra.Command{
		Use:   "show [--version N]",
		Short: "show an accepted document",
		Long:  "Show an accepted document. Its text goes to standard output, its version and origin to standard error.",
		Args:  command.InputArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if version < 0 {
				return inputError("--version: %d is negative", version)
			}
			return showDocument(cmd, flags, wire.DocumentVersion(version))
		},
	}
	cmd.Flags().IntVar(&version, "version", 0, "version `N` to show; 0 is the one in force")
	addJSONFlag(cmd)
	return cmd
}

func showDocument(cmd *cobra.Command, flags *globalFlags, version wire.DocumentVersion) error {
	client, err := flags.client()
	if err != nil {
		return err
	}
	answer, err := client.Document(cmd.Context(), version)
	if err != nil {
		return err
	}
	return printAnswer(cmd, answer, func(w io.Writer) error {
		printNote(cmd, "version %d, digest %s, by %s at %s: %s", answer.Version,
			document.ShortDigest(answer.Digest), formatCell(answer.Who), formatCell(answer.At), formatCell(answer.Why))
		_, err := io.WriteString(w, answer.Text)
		return err
	})
}

package main

import (
	"context"
	"cowslipshunt.example/shared/command"
	"fmt"
	"io"

	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/wire"
	"github.com/spf13/cobra"
)

// documentDiff lists the changes that a document file would make to the document in force.
type documentDiff struct {
	// Version is the version in force.
	Version    wire.DocumentVersion
	Difference []string
}

func newDocumentDiffCommand(flags *globalFlags) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "diff FILE",
		Short: "show what a document would change",
		Long:  "Show the changes that a document would make to the one in force, one per line. Digests are shortened to 12 digits.",
		Args:  command.InputArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return diffDocument(cmd, flags, args[0])
		},
	}
	addJSONFlag(cmd)
	return cmd
}

func diffDocument(cmd *cobra.Command, flags *globalFlags, file string) error {
	_, proposed, err := readDocument(file)
	if err != nil {
		return err
	}
	client, err := flags.client()
	if err != nil {
		return err
	}
	version, current, err := documentInForce(cmd.Context(), client)
	if err != nil {
		return err
	}
	diff := documentDiff{Version: version, Difference: document.Difference(current, proposed)}
	return printAnswer(cmd, diff, func(w io.Writer) error {
		printNote(cmd, "changes against version %d: %d", version, len(diff.Difference))
		for _, line := range diff.Difference {
			if _, err := fmt.Fprintln(w, quoteUnprintable(line)); err != nil {
				return err
			}
		}
		return nil
	})
}

// documentReader reads accepted documents. Version 0 stands for the document in force.
type documentReader interface {
	Document(ctx context.Context, version wire.DocumentVersion) (wire.DocumentAnswer, error)
}

// documentInForce reads and parses the document in force. Before the first submission it is empty and has version 0.
func documentInForce(ctx context.Context, reader documentReader) (wire.DocumentVersion, *document.Document, error) {
	answer, err := reader.Document(ctx, 0)
	if err != nil {
		return 0, nil, err
	}
	d, err := document.Parse(fmt.Sprintf("version %d", answer.Version), []byte(answer.Text))
	return answer.Version, d, err
}

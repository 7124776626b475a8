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

// difference is what a file would change.
type difference struct {
	// Version is the one in force.
	Version    wire.DocumentVersion
	Difference []string
}

func newDocumentDiffCommand(s *session) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "diff FILE",
		Short: "show what a document would change",
		Long:  "Show what a document would change of the one in force, one line a change. Of digests 12 digits are shown.",
		Args:  command.Input(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return diffDocument(cmd, s, args[0])
		},
	}
	addJSONFlag(cmd)
	return cmd
}

func diffDocument(cmd *cobra.Command, s *session, file string) error {
	_, wanted, err := readDocument(file)
	if err != nil {
		return err
	}
	client, err := s.client()
	if err != nil {
		return err
	}
	version, current, err := inForce(cmd.Context(), client)
	if err != nil {
		return err
	}
	answer := difference{Version: version, Difference: document.Difference(current, wanted)}
	return printAnswer(cmd, answer, func(w io.Writer) error {
		remark(cmd, "changes against version %d: %d", version, len(answer.Difference))
		for _, line := range answer.Difference {
			if _, err := fmt.Fprintln(w, safe(line)); err != nil {
				return err
			}
		}
		return nil
	})
}

// documents reads accepted documents.
type documents interface {
	Document(ctx context.Context, version wire.DocumentVersion) (wire.DocumentAnswer, error)
}

// inForce reads and parses the document in force; before the first one it is empty, with version zero.
func inForce(ctx context.Context, from documents) (wire.DocumentVersion, *document.Document, error) {
	answer, err := from.Document(ctx, 0)
	if err != nil {
		return 0, nil, err
	}
	d, err := document.Parse(fmt.Sprintf("version %d", answer.Version), []byte(answer.Text))
	return answer.Version, d, err
}

package domain

import (
	"context"
	"encoding/json"
	"fmt"

	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/wire"
)

// Keys of the row that holds the accepted document's version.
const (
	documentTable = "document"
	documentKey   = "current"
)

// accepted is the document in force.
type accepted struct {
	row      wire.DocumentRow
	document *document.Document
}

// DigestError reports a document whose text is not the accepted one.
type DigestError struct {
	Version   wire.DocumentVersion
	Want, Got wire.Digest
}

// Error names the version and both digests.
func (e *DigestError) Error() string {
	return fmt.Sprintf("document version %d: digest is %s, want %s", e.Version, e.Got, e.Want)
}

// followDocument takes a higher version of the document, and never a lower one.
func (w *Worker) followDocument(ctx context.Context) error {
	rows, err := w.platform.Read(ctx, documentTable, documentKey)
	if err != nil || len(rows) == 0 {
		return err
	}
	var row wire.DocumentRow
	if err := json.Unmarshal(rows[0].Value, &row); err != nil {
		return fmt.Errorf("decode the document's row: %w", err)
	}
	if row.Version <= w.accepted.row.Version {
		return nil
	}
	return w.takeDocument(ctx, row)
}

func (w *Worker) takeDocument(ctx context.Context, row wire.DocumentRow) error {
	text, err := w.platform.GetObject(ctx, row.Digest)
	if err != nil {
		return err
	}
	if got := document.Digest(text); got != row.Digest {
		return &DigestError{Version: row.Version, Want: row.Digest, Got: got}
	}
	d, err := document.Parse("document", text)
	if err != nil {
		return err
	}
	w.accepted = accepted{row: row, document: d}
	w.logger.Info().Int("DocumentVersion", int(row.Version)).Msg("document taken")
	return nil
}

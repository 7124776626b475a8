package domain

import (
	"context"
	"encoding/json"
	"fmt"

	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/wire"
)

// Table and key of the row with the newest accepted version of the document.
const (
	tableDocument = "document"
	keyCurrent    = "current"
)

// acceptedDocument is the document in force in a Worker, and its row. Before the first document was read, document is nil.
type acceptedDocument struct {
	row      wire.DocumentRow
	document *document.Document
}

// DigestError reports a document whose text does not have the accepted digest.
type DigestError struct {
	Version   wire.DocumentVersion
	Want, Got wire.Digest
}

// Error returns the version and both digests.
func (e *DigestError) Error() string {
	return fmt.Sprintf("document version %d: digest is %s, want %s", e.Version, e.Got, e.Want)
}

// followDocument fetches the newest accepted document if its version is higher than the present one. The same or a
// lower version is ignored.
func (w *Worker) followDocument(ctx context.Context) error {
	rows, err := w.platform.Read(ctx, tableDocument, keyCurrent)
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
	return w.fetchDocument(ctx, row)
}

// fetchDocument fetches and parses the document of a row and puts it in force.
func (w *Worker) fetchDocument(ctx context.Context, row wire.DocumentRow) error {
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
	w.accepted = acceptedDocument{row: row, document: d}
	w.logger.Info().Int("DocumentVersion", int(row.Version)).Msg("document in force for the domain's orders")
	return nil
}

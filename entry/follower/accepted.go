package follower

import (
	"context"
	"encoding/json"
	"fmt"

	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/wire"
	"github.com/VictoriaMetrics/metrics"
)

var (
	bodiesRejected    = metrics.NewCounter("entry_document_bodies_refused_total")
	unacceptedInForce = metrics.NewCounter("entry_document_unaccepted_total")
)

// VersionKey returns the key of the row that an accepted version has in the table.
func VersionKey(v wire.DocumentVersion) string {
	return fmt.Sprintf("version/%010d", int(v))
}

// UnacceptedError reports a document that the table does not list as accepted. Accepted is the row that the table has instead;
// it may be empty.
type UnacceptedError struct {
	Version  wire.DocumentVersion
	Digest   wire.Digest
	Accepted wire.DocumentRow
}

// Error returns the version with its digest, and the accepted digest if the table has the version.
func (e *UnacceptedError) Error() string {
	if e.Accepted.Version != e.Version {
		return fmt.Sprintf("document version %d with digest %s was never accepted", e.Version, e.Digest)
	}
	return fmt.Sprintf("document version %d has digest %s, but was accepted with digest %s", e.Version, e.Digest, e.Accepted.Digest)
}

// handleBody puts a document that a peer sent in force if it is newer. While the table is reachable, it must list the version
// with this digest. Otherwise the peer is trusted, so that a failure domain without access to the table still applies the
// withdrawal of keys.
func (f *Follower) handleBody(ctx context.Context, _ wire.InstanceName, b wire.DocumentBody) error {
	if b.Version <= f.current.Version() {
		return nil
	}
	if err := f.checkAccepted(ctx, b.Version, b.Digest); err != nil {
		bodiesRejected.Inc()
		return err
	}
	_, err := f.current.Apply(b.Version, b.Digest, b.Text)
	return err
}

// checkAccepted returns an error if the table is reachable and does not list the version with this digest. If the table is not
// reachable, it logs a warning and returns nil.
func (f *Follower) checkAccepted(ctx context.Context, version wire.DocumentVersion, digest wire.Digest) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	rows, err := f.store.Read(ctx, Table, VersionKey(version))
	if err != nil {
		f.logger.Warn().Err(err).Int("Version", int(version)).Msg("cannot read the accepted version; trusting the document that a peer sent")
		return nil
	}
	row, err := decodeRow(rows)
	if err != nil {
		return err
	}
	if row.Version != version || row.Digest != digest {
		return &UnacceptedError{Version: version, Digest: digest, Accepted: row}
	}
	return nil
}

// checkPreviousAccepted logs an error and counts it if the document that was in force before the table was read was never
// accepted. The row was read later, so an accepted document has neither a higher version than the row nor the same version with
// another digest. The document stays in force, since a running entry never returns to a lower version, but it is not confirmed
// any more, so that keys with KeyValidSeconds expire.
func (f *Follower) checkPreviousAccepted(before *document.Accepted, row wire.DocumentRow) {
	if before == nil || before.Version < row.Version || before.Version == row.Version && before.Digest == row.Digest {
		return
	}
	unacceptedInForce.Inc()
	err := &UnacceptedError{Version: before.Version, Digest: before.Digest, Accepted: row}
	f.logger.Error().Err(err).Msg("the document in force was never accepted; restart this entry")
}

// decodeRow decodes the first row. It returns an empty one if there are none.
func decodeRow(rows []wire.Row) (wire.DocumentRow, error) {
	var row wire.DocumentRow
	if len(rows) == 0 {
		return row, nil
	}
	err := json.Unmarshal(rows[0].Value, &row)
	return row, err
}

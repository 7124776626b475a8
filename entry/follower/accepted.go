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
	bodiesRefused = metrics.NewCounter("entry_document_bodies_refused_total")
	unaccepted    = metrics.NewCounter("entry_document_unaccepted_total")
)

// VersionKey returns the key of the row that a version was accepted with.
func VersionKey(v wire.DocumentVersion) string {
	return fmt.Sprintf("version/%010d", int(v))
}

// UnacceptedError reports a document that the table does not hold as accepted.
type UnacceptedError struct {
	Version  wire.DocumentVersion
	Digest   wire.Digest
	Accepted wire.DocumentRow
}

// Error names the version and both digests.
func (e *UnacceptedError) Error() string {
	if e.Accepted.Version != e.Version {
		return fmt.Sprintf("document version %d, digest %s, was never accepted", e.Version, e.Digest)
	}
	return fmt.Sprintf("document version %d has digest %s, accepted was %s", e.Version, e.Digest, e.Accepted.Digest)
}

// takeBody takes a peer's document. While the table can be asked, it has to hold the version with this digest. While it
// cannot, the peer is trusted: a domain cut off from the table still learns of withdrawn keys.
func (f *Follower) takeBody(ctx context.Context, _ wire.InstanceName, b wire.DocumentBody) error {
	if b.Version <= f.current.Version() {
		return nil
	}
	if err := f.accepted(ctx, b.Version, b.Digest); err != nil {
		bodiesRefused.Inc()
		return err
	}
	_, err := f.current.Take(b.Version, b.Digest, b.Text)
	return err
}

// accepted returns an error if the table can be asked and does not hold a version with a digest.
func (f *Follower) accepted(ctx context.Context, version wire.DocumentVersion, digest wire.Digest) error {
	ctx, cancel := context.WithTimeout(ctx, readWithin)
	defer cancel()
	rows, err := f.store.Read(ctx, Table, VersionKey(version))
	if err != nil {
		f.logger.Warn().Err(err).Int("Version", int(version)).Msg("a peer's document is taken unconfirmed")
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

// judge raises an alarm if what was in force before the table was asked was never accepted: the table's answer is at least
// as new as the question. The document stays in force, since no version is ever lowered while an entry runs; without a
// confirmation, keys with a validity stop.
func (f *Follower) judge(before *document.Accepted, row wire.DocumentRow) {
	if before == nil || before.Version < row.Version || before.Version == row.Version && before.Digest == row.Digest {
		return
	}
	unaccepted.Inc()
	err := &UnacceptedError{Version: before.Version, Digest: before.Digest, Accepted: row}
	f.logger.Error().Err(err).Msg("the document in force was never accepted; start this entry anew")
}

// decodeRow returns the only row, or an empty one.
func decodeRow(rows []wire.Row) (wire.DocumentRow, error) {
	var row wire.DocumentRow
	if len(rows) == 0 {
		return row, nil
	}
	err := json.Unmarshal(rows[0].Value, &row)
	return row, err
}

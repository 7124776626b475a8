package lease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"cowslipshunt.example/wire"
)

// TableName is the name of the table that holds the lease rows.
const TableName = "lease"

// Usage is the name of the lease under which usage windows are frozen and reported.
const Usage wire.LeaseName = "usage"

// Domain returns the name of a failure domain's lease.
func Domain(d wire.DomainName) wire.LeaseName {
	return wire.LeaseName("domain/" + d)
}

// Table is the part of the platform's table service that a Keeper uses. A transaction may still take effect after an error
// was returned.
type Table interface {
	Read(ctx context.Context, table string, keys ...string) ([]wire.Row, error)
	Transact(ctx context.Context, r wire.TransactRequest) (wire.TransactAnswer, error)
}

// ErrNotHeld is returned by operations that only the holder of the lease may perform.
var ErrNotHeld = errors.New("the lease is not held")

// RowError reports a lease row that cannot be decoded.
type RowError struct {
	Lease wire.LeaseName
	Err   error
}

// Error returns a message with the name of the lease.
func (e *RowError) Error() string {
	return fmt.Sprintf("decode row of lease %s: %v", e.Lease, e.Err)
}

// Unwrap returns the decoder's error.
func (e *RowError) Unwrap() error {
	return e.Err
}

// storedRow is a lease row as read from the table. Revision zero means that the row is absent.
type storedRow struct {
	row      wire.LeaseRow
	revision wire.Revision
}

// Bounds of what a keeper writes. A row beyond them is another writer's: computing with it would overflow.
const (
	maxTermMillis            = 24 * 60 * 60 * 1000
	maxEpoch      wire.Epoch = 1 << 52
	maxRenewal               = 1 << 52
)

// checkRow returns an error unless a keeper may have written a row.
func checkRow(r *wire.LeaseRow) error {
	if r.TermMillis < 0 || r.TermMillis > maxTermMillis || r.Epoch < 0 || r.Epoch > maxEpoch || r.Renewal < 0 || r.Renewal > maxRenewal {
		return fmt.Errorf("epoch %d, renewal %d or term %d ms is out of bounds", r.Epoch, r.Renewal, r.TermMillis)
	}
	return nil
}

// findRow finds a lease's row among rows by its key and decodes it. If there is none, the result has revision zero.
func findRow(name wire.LeaseName, key string, rows []wire.Row) (storedRow, error) {
	for _, r := range rows {
		if r.Table != TableName || r.Key != key || r.Revision == 0 {
			continue
		}
		s := storedRow{revision: r.Revision}
		if err := json.Unmarshal(r.Value, &s.row); err != nil {
			return storedRow{}, &RowError{Lease: name, Err: err}
		}
		if err := checkRow(&s.row); err != nil {
			return storedRow{}, &RowError{Lease: name, Err: err}
		}
		return s, nil
	}
	return storedRow{}, nil
}

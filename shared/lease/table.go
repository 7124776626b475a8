package lease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"cowslipshunt.example/wire"
)

// TableName is the table that holds the lease rows.
const TableName = "lease"

// Usage is the name of the lease for closing and reporting usage windows.
const Usage wire.LeaseName = "usage"

// Domain returns the name of a failure domain's lease.
func Domain(d wire.DomainName) wire.LeaseName {
	return wire.LeaseName("domain/" + d)
}

// Table is the part of the platform's table service that a keeper needs. After an error a transaction may still take
// effect.
type Table interface {
	Read(ctx context.Context, table string, keys ...string) ([]wire.Row, error)
	Transact(ctx context.Context, r wire.TransactRequest) (wire.TransactAnswer, error)
}

// ErrNotHeld is returned for what only the holder may do.
var ErrNotHeld = errors.New("the lease is not held")

// RowError reports a lease row that does not decode.
type RowError struct {
	Lease wire.LeaseName
	Err   error
}

// Error names the lease.
func (e *RowError) Error() string {
	return fmt.Sprintf("lease %s: decode row: %v", e.Lease, e.Err)
}

// Unwrap returns the decoder's error.
func (e *RowError) Unwrap() error {
	return e.Err
}

// seen is a lease row as the table showed it; revision zero is an absent row.
type seen struct {
	row      wire.LeaseRow
	revision wire.Revision
}

// decode picks a lease's row out of rows.
func decode(name wire.LeaseName, rows []wire.Row) (seen, error) {
	for _, r := range rows {
		if r.Table != TableName || r.Key != string(name) || r.Revision == 0 {
			continue
		}
		s := seen{revision: r.Revision}
		if err := json.Unmarshal(r.Value, &s.row); err != nil {
			return seen{}, &RowError{Lease: name, Err: err}
		}
		return s, nil
	}
	return seen{}, nil
}

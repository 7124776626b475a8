// Package membership determines which instances are alive, from a row that each refreshes in the store, and adapts the intervals
// of their calls to their number.
package membership

import (
	"context"
	"encoding/json"
	"time"

	"cowslipshunt.example/wire"
)

// TableName is the table with a row for each instance.
const TableName = "member"

// Times of a member's row.
const (
	// RefreshInterval is the interval at which an instance writes its row.
	RefreshInterval = 15 * time.Second
	// SecondRefreshDelay is the time between an instance's first and second refresh. It is shorter than RefreshInterval because
	// instances that started at the same time have written their rows by then.
	SecondRefreshDelay = 3 * time.Second
	// SettleTime is the time after its start in which an instance learns of its peers: until its second refresh and their first reports.
	SettleTime = SecondRefreshDelay + 500*time.Millisecond
	// staleAfter is the age at which a row no longer counts: two missed refreshes and a margin.
	staleAfter = 35 * time.Second
	// maxAhead is how far a row may be ahead of this instance's clock. One that is further ahead would never become stale.
	maxAhead = 24 * time.Hour
)

// maxPruned bounds how many stale rows one refresh removes.
const maxPruned = 20

// Table is the part of the store that this package uses.
type Table interface {
	Range(ctx context.Context, table, from, to string) ([]wire.Row, error)
	Transact(ctx context.Context, r wire.TransactRequest) (wire.TransactAnswer, error)
}

// member is the stored value of a row.
type member struct {
	Domain wire.DomainName
	// Address is where the instance receives the reports of its peers.
	Address string
	// Seen is the agreed time at which the row was written, in Unix milliseconds.
	Seen int64
}

// Peer is another instance that is alive.
type Peer struct {
	// Address is where the instance receives the reports of its peers.
	Address string
	Domain  wire.DomainName
}

// Registration refreshes the row of one instance. It is not safe for concurrent use.
type Registration struct {
	table    Table
	instance wire.InstanceName
	domain   wire.DomainName
	address  string
	now      func() time.Time
}

// NewRegistration returns the Registration of an instance that receives the reports of its peers at an address. The function now
// returns the agreed time.
func NewRegistration(t Table, instance wire.InstanceName, domain wire.DomainName, address string, now func() time.Time) *Registration {
	return &Registration{table: t, instance: instance, domain: domain, address: address, now: now}
}

// Renew writes the instance's row without reading the others.
func (r *Registration) Renew(ctx context.Context) error {
	value, err := r.row()
	if err != nil {
		return err
	}
	_, err = r.table.Transact(ctx, wire.TransactRequest{Writes: []wire.Write{{Table: TableName, Key: string(r.instance), Value: value}}})
	return err
}

// row returns the value of the instance's row.
func (r *Registration) row() ([]byte, error) {
	return json.Marshal(member{Domain: r.domain, Address: r.address, Seen: r.now().UnixMilli()})
}

// Refresh writes the instance's row and returns the other instances that are alive. It also removes stale and undecodable rows.
func (r *Registration) Refresh(ctx context.Context) ([]Peer, error) {
	value, err := r.row()
	if err != nil {
		return nil, err
	}
	rows, err := r.table.Range(ctx, TableName, "", "")
	if err != nil {
		return nil, err
	}
	tx := wire.TransactRequest{Writes: []wire.Write{{Table: TableName, Key: string(r.instance), Value: value}}}
	peers := []Peer{}
	for _, row := range rows {
		if row.Key == string(r.instance) {
			continue
		}
		var m member
		if err := json.Unmarshal(row.Value, &m); err == nil && r.isAlive(&m) {
			peers = append(peers, Peer{Address: m.Address, Domain: m.Domain})
			continue
		}
		if len(tx.Writes) <= maxPruned {
			// The check fails the transaction if the row's instance has refreshed it since it was read.
			tx.Checks = append(tx.Checks, wire.Check{Table: TableName, Key: row.Key, Revision: row.Revision})
			tx.Writes = append(tx.Writes, wire.Write{Table: TableName, Key: row.Key, Delete: true})
		}
	}
	answer, err := r.table.Transact(ctx, tx)
	if err != nil {
		return peers, err
	}
	if answer.Committed {
		return peers, nil
	}
	// A stale row has been refreshed since it was read. The next refresh removes those that are still stale.
	if _, err := r.table.Transact(ctx, wire.TransactRequest{Writes: tx.Writes[:1]}); err != nil {
		return peers, err
	}
	return peers, nil
}

// isAlive reports whether the row of another instance was written lately.
func (r *Registration) isAlive(m *member) bool {
	age := r.now().Sub(time.UnixMilli(m.Seen))
	return age < staleAfter && age > -maxAhead
}

// Leave removes the instance's row.
func (r *Registration) Leave(ctx context.Context) error {
	_, err := r.table.Transact(ctx, wire.TransactRequest{Writes: []wire.Write{{Table: TableName, Key: string(r.instance), Delete: true}}})
	return err
}

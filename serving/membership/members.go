// Package membership counts the instances that are alive, by rows that each keeps fresh in the store, and spaces what all of them do
// by their number.
package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"cowslipshunt.example/wire"
)

// TableName is the table with a row for each instance.
const TableName = "member"

// Times of a member's row.
const (
	// RefreshEvery is how often an instance writes its row.
	RefreshEvery = 15 * time.Second
	// staleAfter is when a row that was not refreshed no longer counts: two refreshes that were missed and a margin.
	staleAfter = 35 * time.Second
)

// maxPruned bounds the stale rows that are removed with one refresh.
const maxPruned = 20

// Table is the part of the store that membership needs.
type Table interface {
	Range(ctx context.Context, table, from, to string) ([]wire.Row, error)
	Transact(ctx context.Context, r wire.TransactRequest) (wire.TransactAnswer, error)
}

// member is a row's value.
type member struct {
	Domain wire.DomainName
	// Address is where the instance takes its peers' reports.
	Address string
	// Seen is when the row was written, in Unix milliseconds of the agreed time.
	Seen int64
}

// Register keeps one instance's row fresh. It is for one goroutine.
type Register struct {
	table    Table
	instance wire.InstanceName
	domain   wire.DomainName
	address  string
	now      func() time.Time
}

// NewRegister returns the register of an instance that takes its peers' reports at an address; now returns the agreed time.
func NewRegister(t Table, instance wire.InstanceName, domain wire.DomainName, address string, now func() time.Time) *Register {
	return &Register{table: t, instance: instance, domain: domain, address: address, now: now}
}

// Refresh writes the instance's row and returns the addresses of the other instances that are alive. It removes the rows of
// those that are gone for long.
func (r *Register) Refresh(ctx context.Context) ([]string, error) {
	value, err := json.Marshal(member{Domain: r.domain, Address: r.address, Seen: r.now().UnixMilli()})
	if err != nil {
		return nil, err
	}
	rows, err := r.table.Range(ctx, TableName, "", "")
	if err != nil {
		return nil, err
	}
	tx := wire.TransactRequest{Writes: []wire.Write{{Table: TableName, Key: string(r.instance), Value: value}}}
	peers := []string{}
	for _, row := range rows {
		if row.Key == string(r.instance) {
			continue
		}
		var m member
		if err := json.Unmarshal(row.Value, &m); err == nil && r.now().Sub(time.UnixMilli(m.Seen)) < staleAfter {
			peers = append(peers, m.Address)
			continue
		}
		if len(tx.Writes) <= maxPruned {
			// The check spares a row that its instance has written anew meanwhile.
			tx.Checks = append(tx.Checks, wire.Check{Table: TableName, Key: row.Key, Revision: row.Revision})
			tx.Writes = append(tx.Writes, wire.Write{Table: TableName, Key: row.Key, Delete: true})
		}
	}
	answer, err := r.table.Transact(ctx, tx)
	if err != nil {
		return peers, err
	}
	if !answer.Committed {
		return peers, fmt.Errorf("a stale row was written anew")
	}
	return peers, nil
}

// Leave removes the instance's row.
func (r *Register) Leave(ctx context.Context) error {
	_, err := r.table.Transact(ctx, wire.TransactRequest{Writes: []wire.Write{{Table: TableName, Key: string(r.instance), Delete: true}}})
	return err
}

package tabletest

import (
	"context"
	"errors"
	"maps"

	"cowslipshunt.example/shared/era"
	"cowslipshunt.example/wire"
)

// ErrEra is the error of a transaction whose checks were made in an earlier era than the one in which it took effect.
var ErrEra = errors.New("the table was restored")

// Backup is a copy of the rows of a table service.
type Backup struct {
	rows     map[key]wire.Row
	revision wire.Revision
}

// Backup returns a copy of the present state.
func (t *Table) Backup() Backup {
	return Backup{rows: maps.Clone(t.rows), revision: t.revision}
}

// Restore replaces the state by that of a backup, in a new era. Revisions since the backup are assigned again.
func (t *Table) Restore(b Backup) {
	t.era++
	t.rows, t.revision = maps.Clone(b.rows), b.revision
}

// Era returns the number of calls of Restore.
func (t *Table) Era() era.Era {
	return t.era
}

// Client is a process's client of a table that may be restored. Its revisions are joined with the era of the answer.
type Client struct {
	table *Table
	known era.Era
}

// NewClient returns a client that learns of each era by the next answer that it gets.
func NewClient(t *Table) *Client {
	return &Client{table: t}
}

// Era returns the era of the last answer.
func (c *Client) Era() era.Era {
	return c.known
}

// Read returns the rows with the given keys.
func (c *Client) Read(_ context.Context, table string, keys ...string) ([]wire.Row, error) {
	rows, e, err := c.table.read(table, keys)
	if err != nil {
		return nil, err
	}
	return c.answered(rows, e)
}

// Range returns the rows of a table whose keys are at least from and less than to.
func (c *Client) Range(_ context.Context, table, from, to string) ([]wire.Row, error) {
	rows, e, err := c.table.rangeOf(table, from, to)
	if err != nil {
		return nil, err
	}
	return c.answered(rows, e)
}

// answered notes the era of an answer and joins its rows' revisions with it. An answer of an earlier era is an error.
func (c *Client) answered(rows []wire.Row, e era.Era) ([]wire.Row, error) {
	if e < c.known {
		return nil, ErrEra
	}
	c.known = e
	joined := make([]wire.Row, 0, len(rows))
	for _, r := range rows {
		r.Revision = wire.Revision(era.Join(e, int(r.Revision)))
		joined = append(joined, r)
	}
	return joined, nil
}

// Transact applies a transaction as the table does. Checks of an earlier era fail without a transaction.
func (c *Client) Transact(ctx context.Context, r wire.TransactRequest) (wire.TransactAnswer, error) {
	raw, checked, before := r, false, c.known
	raw.Checks = nil
	for _, check := range r.Checks {
		if check.Revision != 0 && era.Of(int(check.Revision)) != before {
			return c.present(ctx, r.Checks)
		}
		checked = checked || check.Revision != 0
		check.Revision = wire.Revision(era.Number(int(check.Revision)))
		raw.Checks = append(raw.Checks, check)
	}
	answer, e, err := c.table.transact(raw)
	if err != nil {
		return wire.TransactAnswer{}, err
	}
	if answer.Conflicts, err = c.answered(answer.Conflicts, e); err != nil {
		return wire.TransactAnswer{}, err
	}
	answer.Revision = wire.Revision(era.Join(e, int(answer.Revision)))
	if answer.Committed && checked && before != e {
		return wire.TransactAnswer{}, ErrEra
	}
	return answer, nil
}

// present returns the rows of checks as they are now, as conflicts.
func (c *Client) present(ctx context.Context, checks []wire.Check) (wire.TransactAnswer, error) {
	answer := wire.TransactAnswer{}
	for _, check := range checks {
		rows, err := c.Read(ctx, check.Table, check.Key)
		if err != nil {
			return wire.TransactAnswer{}, err
		}
		row := wire.Row{Table: check.Table, Key: check.Key}
		if len(rows) > 0 {
			row = rows[0]
		}
		if row.Revision != check.Revision || era.Of(int(check.Revision)) < c.known && check.Revision != 0 {
			answer.Conflicts = append(answer.Conflicts, row)
		}
	}
	answer.Revision = wire.Revision(era.Join(c.known, int(c.table.revision)))
	return answer, nil
}

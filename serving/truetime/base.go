package truetime

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"cowslipshunt.example/wire"
)

// Place of the base in the store.
const (
	TableName = "time"
	baseKey   = "base"
)

// Table is the part of the store that the base needs.
type Table interface {
	Read(ctx context.Context, table string, keys ...string) ([]wire.Row, error)
	Transact(ctx context.Context, r wire.TransactRequest) (wire.TransactAnswer, error)
}

// base is the row's value.
type base struct {
	UnixMillis int64
}

// Agree reads the base or, if there is none, proposes this machine's.
func (c *Clock) Agree(ctx context.Context, t Table) error {
	rows, err := t.Read(ctx, TableName, baseKey)
	if err != nil {
		return err
	}
	if len(rows) > 0 {
		return c.take(rows[0].Value)
	}
	guess, ok := c.Guess()
	if !ok {
		return fmt.Errorf("the store has not told its clock")
	}
	value, err := json.Marshal(base{UnixMillis: guess.UnixMilli()})
	if err != nil {
		return err
	}
	answer, err := t.Transact(ctx, wire.TransactRequest{
		Checks: []wire.Check{{Table: TableName, Key: baseKey}},
		Writes: []wire.Write{{Table: TableName, Key: baseKey, Value: value}},
	})
	if err != nil {
		return err
	}
	if answer.Committed {
		return c.take(value)
	}
	if len(answer.Conflicts) == 0 {
		return fmt.Errorf("the store refused the base and shows none")
	}
	return c.take(answer.Conflicts[0].Value)
}

func (c *Clock) take(value []byte) error {
	var b base
	if err := json.Unmarshal(value, &b); err != nil {
		return fmt.Errorf("decode the base of time: %w", err)
	}
	c.SetBase(time.UnixMilli(b.UnixMillis))
	return nil
}

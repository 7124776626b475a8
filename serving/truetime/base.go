package truetime

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"cowslipshunt.example/wire"
)

// The table and key of the base in the store.
const (
	TableName = "time"
	baseKey   = "base"
)

// Table is the part of the store that this package uses.
type Table interface {
	Read(ctx context.Context, table string, keys ...string) ([]wire.Row, error)
	Transact(ctx context.Context, r wire.TransactRequest) (wire.TransactAnswer, error)
}

// base is the stored value of the row: the time at which the store's monotonic clock read zero.
type base struct {
	UnixMillis int64
}

// Agree sets the base from the store. If the store has none, it stores this machine's Guess, unless another instance is first; in
// that case it sets the other instance's base.
func (c *Clock) Agree(ctx context.Context, t Table) error {
	rows, err := t.Read(ctx, TableName, baseKey)
	if err != nil {
		return err
	}
	if len(rows) > 0 {
		return c.decodeBase(rows[0].Value)
	}
	guess, ok := c.Guess()
	if !ok {
		return fmt.Errorf("propose the base of the agreed time: the store's clock has not been observed yet")
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
		return c.decodeBase(value)
	}
	if len(answer.Conflicts) == 0 {
		return fmt.Errorf("propose the base of the agreed time: the store rejected it but returned no other")
	}
	return c.decodeBase(answer.Conflicts[0].Value)
}

// decodeBase sets the base from the stored value of the row.
func (c *Clock) decodeBase(value []byte) error {
	var b base
	if err := json.Unmarshal(value, &b); err != nil {
		return fmt.Errorf("decode the base of the agreed time: %w", err)
	}
	c.SetBase(time.UnixMilli(b.UnixMillis))
	return nil
}

package truetime

import (
	"bytes"
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
	if found, err := c.Adopt(ctx, t); found || err != nil {
		return err
	}
	return c.Propose(ctx, t)
}

// Propose stores this machine's Guess as the base and sets it, unless another instance is first; in that case it sets the other instance's
// base. It is for callers that have found no base with Adopt: each read is billed.
func (c *Clock) Propose(ctx context.Context, t Table) error {
	guess, ok := c.Guess()
	if !ok {
		return fmt.Errorf("propose the base of the agreed time: the store's clock has not been observed yet")
	}
	value, answer, err := propose(ctx, t, guess)
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

// Adopt sets the base from the store and reports whether it has one.
func (c *Clock) Adopt(ctx context.Context, t Table) (bool, error) {
	rows, err := t.Read(ctx, TableName, baseKey)
	if err != nil || len(rows) == 0 {
		return false, err
	}
	return true, c.decodeBase(rows[0].Value)
}

// propose stores a time as the base if there is none, and returns the value that it has written or tried to write.
func propose(ctx context.Context, t Table, at time.Time) ([]byte, wire.TransactAnswer, error) {
	value, err := json.Marshal(base{UnixMillis: at.UnixMilli()})
	if err != nil {
		return nil, wire.TransactAnswer{}, err
	}
	answer, err := t.Transact(ctx, wire.TransactRequest{
		Checks: []wire.Check{{Table: TableName, Key: baseKey}},
		Writes: []wire.Write{{Table: TableName, Key: baseKey, Value: value}},
	})
	return value, answer, err
}

// OtherBaseError reports that a restored store has another base than the one in use.
type OtherBaseError struct {
	Own, Stored time.Time
}

// Error names both bases.
func (e *OtherBaseError) Error() string {
	return fmt.Sprintf("the store has the base %v of the agreed time, %v is in use", e.Stored, e.Own)
}

// Restore writes the base again if the store has lost it by a restore. The base in use stays as it is, so that the agreed time does not
// jump: if the store has another one, the error is an *OtherBaseError.
func (c *Clock) Restore(ctx context.Context, t Table) error {
	c.mu.Lock()
	own, set := c.base, c.baseSet
	c.mu.Unlock()
	if !set {
		return nil
	}
	value, answer, err := propose(ctx, t, own)
	if err != nil || answer.Committed || len(answer.Conflicts) == 0 || bytes.Equal(answer.Conflicts[0].Value, value) {
		return err
	}
	var b base
	if err := json.Unmarshal(answer.Conflicts[0].Value, &b); err != nil {
		return fmt.Errorf("decode the base of the agreed time: %w", err)
	}
	if stored := time.UnixMilli(b.UnixMillis); !stored.Equal(own) {
		return &OtherBaseError{Own: own, Stored: stored}
	}
	return nil
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

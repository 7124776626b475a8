package order

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"cowslipshunt.example/wire"
)

// auditKey returns the key of an audit entry. Keys sort by time.
func auditKey(at time.Time, id string) string {
	return fmt.Sprintf("%020d-%s", at.UnixNano(), id)
}

func auditWrite(entry wire.AuditRow, id string) (wire.Write, error) {
	value, err := json.Marshal(entry)
	return wire.Write{Table: AuditTable, Key: auditKey(entry.At, id), Value: value}, err
}

// newAuditRow returns an audit entry about the current state of an order.
func (b *Book) newAuditRow(row wire.OrderRow, version wire.DocumentVersion) wire.AuditRow {
	return wire.AuditRow{
		At:              b.clock.Now().UTC(),
		Who:             string(b.instance),
		What:            describe(row),
		Why:             row.Why,
		Subject:         string(TargetOf(row)),
		DocumentVersion: version,
	}
}

// describe returns the text of an audit entry: what the order does, and the order's state.
func describe(row wire.OrderRow) string {
	if row.Endpoint == "" {
		return fmt.Sprintf("order %s: %d endpoints of %s in %s: %s", row.Order, row.Count, row.Kind, row.Domain, row.State)
	}
	if row.Action == wire.EngineActionLoadModel {
		return fmt.Sprintf("order %s: load %s %s: %s", row.Order, row.Model, row.ModelVersion, row.State)
	}
	return fmt.Sprintf("order %s: %s %s: %s", row.Order, row.Action, row.Role, row.State)
}

// WriteAuditNote writes an audit entry about a pending order, such as the reason why it waits.
func (b *Book) WriteAuditNote(ctx context.Context, row wire.OrderRow, why string, version wire.DocumentVersion) error {
	entry := b.newAuditRow(row, version)
	entry.Why = why
	write, err := auditWrite(entry, string(row.Order)+"-note")
	if err != nil {
		return err
	}
	_, err = b.fence.Transact(ctx, wire.TransactRequest{Writes: []wire.Write{write}})
	return err
}

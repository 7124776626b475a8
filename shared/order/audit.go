package order

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"cowslipshunt.example/wire"
)

// auditKey sorts entries by time.
func auditKey(at time.Time, id string) string {
	return fmt.Sprintf("%020d-%s", at.UnixNano(), id)
}

func auditWrite(entry wire.AuditRow, id string) (wire.Write, error) {
	value, err := json.Marshal(entry)
	return wire.Write{Table: AuditTable, Key: auditKey(entry.At, id), Value: value}, err
}

func (b *Book) auditOf(row wire.OrderRow, version wire.DocumentVersion) wire.AuditRow {
	return wire.AuditRow{
		At:              b.clock.Now().UTC(),
		Who:             string(b.instance),
		What:            describe(row),
		Why:             row.Why,
		Subject:         string(TargetOf(row)),
		DocumentVersion: version,
	}
}

func describe(row wire.OrderRow) string {
	if row.Endpoint == "" {
		return fmt.Sprintf("order %s: %d endpoints of %s in %s: %s", row.Order, row.Count, row.Kind, row.Domain, row.State)
	}
	if row.Action == wire.EngineActionLoadModel {
		return fmt.Sprintf("order %s: load %s %s: %s", row.Order, row.Model, row.ModelVersion, row.State)
	}
	return fmt.Sprintf("order %s: %s %s: %s", row.Order, row.Action, row.Role, row.State)
}

// Note writes an audit entry about an order under way, such as why it waits.
func (b *Book) Note(ctx context.Context, row wire.OrderRow, why string, version wire.DocumentVersion) error {
	entry := b.auditOf(row, version)
	entry.Why = why
	write, err := auditWrite(entry, string(row.Order)+"-note")
	if err != nil {
		return err
	}
	_, err = b.fence.Transact(ctx, wire.TransactRequest{Writes: []wire.Write{write}})
	return err
}

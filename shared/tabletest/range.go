package tabletest

import (
	"context"

	"cowslipshunt.example/wire"
)

// Range returns the rows of a table, in key order, whose keys are at least from and less than to. An empty to means no upper limit.
func (t *Table) Range(_ context.Context, table, from, to string) ([]wire.Row, error) {
	t.Delay()
	var rows []wire.Row
	for _, r := range t.Rows(table, "") {
		if r.Key >= from && (to == "" || r.Key < to) {
			rows = append(rows, r)
		}
	}
	t.Delay()
	return rows, t.queryFault()
}

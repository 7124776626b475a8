package tabletest

import (
	"context"

	"cowslipshunt.example/wire"
)

// Range returns the rows of a table whose keys are from from up and below to, in key order. Empty bounds do not bound.
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

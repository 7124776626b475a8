package tabletest

import (
	"context"

	"cowslipshunt.example/shared/era"
	"cowslipshunt.example/wire"
)

// Range returns the rows of a table, in key order, whose keys are at least from and less than to. An empty to means no upper limit.
func (t *Table) Range(_ context.Context, table, from, to string) ([]wire.Row, error) {
	rows, _, err := t.rangeOf(table, from, to)
	return rows, err
}

// rangeOf returns the rows of a range and the era in which they were read.
func (t *Table) rangeOf(table, from, to string) ([]wire.Row, era.Era, error) {
	t.Delay()
	e := t.era
	var rows []wire.Row
	for _, r := range t.Rows(table, "") {
		if r.Key >= from && (to == "" || r.Key < to) {
			rows = append(rows, r)
		}
	}
	t.Delay()
	return rows, e, t.queryFault()
}

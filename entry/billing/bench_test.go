package billing

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"cowslipshunt.example/wire"
)

// benchTable holds one row and counts the bytes of the JSON bodies in both directions.
type benchTable struct {
	row   []wire.Row
	bytes int
}

// Read returns the row.
func (t *benchTable) Read(context.Context, string, ...string) ([]wire.Row, error) {
	data, err := json.Marshal(wire.RowsAnswer{Rows: t.row})
	if err != nil {
		return nil, err
	}
	t.bytes += len(data)
	var answer wire.RowsAnswer
	return answer.Rows, json.Unmarshal(data, &answer)
}

// Transact replaces the row.
func (t *benchTable) Transact(_ context.Context, r wire.TransactRequest) (wire.TransactAnswer, error) {
	data, err := json.Marshal(r)
	t.bytes += len(data)
	t.row = []wire.Row{{Table: "usage", Key: r.Writes[0].Key, Revision: 1, Value: r.Writes[0].Value}}
	return wire.TransactAnswer{Committed: true, Revision: 1}, err
}

// BenchmarkStoreRow measures writing an incarnation's whole row after a change of one cell, as an entry does every few seconds.
// A cell is a pair of workspace and model.
func BenchmarkStoreRow(b *testing.B) {
	for _, cells := range []int{152, 4560} {
		b.Run(fmt.Sprintf("cells=%d", cells), func(b *testing.B) {
			table := &benchTable{}
			store := &rowStore{table: table}
			totals := wire.UsageTotals{Incarnation: "0b0f6d0e-8a35-4d6a-9a4e-7f0c2b1d3e4f"}
			for i := range cells {
				totals.Figures = append(totals.Figures, wire.UsageFigure{
					Workspace: wire.WorkspaceName(fmt.Sprintf("workspace-%03d", i/19)),
					Model:     wire.ModelName(fmt.Sprintf("model-%02d", i%19)),
					Requests:  9000, PromptTokens: 72_000_000, OutputTokens: 2_430_000, Cost: 32_688_000,
				})
			}
			b.ReportAllocs()
			for b.Loop() {
				totals.Sequence++
				totals.Figures[0].Requests++
				if ok, err := store.write(b.Context(), "entry", totals, false); err != nil || !ok {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(table.bytes)/float64(b.N), "table-B/write")
		})
	}
}

package booking_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"cowslipshunt.example/shared/booking"
	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

// benchTable accepts every write and counts the writes and their bytes.
type benchTable struct {
	writes int
	bytes  int
}

// Transact commits every request.
func (t *benchTable) Transact(_ context.Context, r wire.TransactRequest) (wire.TransactAnswer, error) {
	data, err := json.Marshal(r)
	t.writes++
	t.bytes += len(data)
	return wire.TransactAnswer{Committed: true, Revision: wire.Revision(t.writes)}, err
}

// BenchmarkClaim claims a request and stores its answer, with a table that does not leave the process.
func BenchmarkClaim(b *testing.B) {
	for _, size := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("answer=%dB", size), func(b *testing.B) {
			table := &benchTable{}
			claims := booking.NewClaims(table, "0b0f6d0e-8a35-4d6a-9a4e-7f0c2b1d3e4f", clockwork.NewRealClock())
			key := booking.Key{Workspace: "workspace-001", Digest: document.Digest([]byte("key"))}
			answer := booking.Answer{Status: 200, Header: []wire.HeaderField{{Name: "Content-Type", Value: "application/json"}}, Body: []byte(strings.Repeat("x", size))}
			b.ReportAllocs()
			for b.Loop() {
				claim, err := claims.Begin(b.Context(), key, document.Digest([]byte("request")))
				if err == nil {
					err = claims.Finish(b.Context(), claim, answer)
				}
				if err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(table.bytes)/float64(b.N), "table-B/claim")
			b.ReportMetric(float64(table.writes)/float64(b.N), "writes/claim")
		})
	}
}

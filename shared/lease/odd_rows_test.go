package lease_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cowslipshunt.example/shared/lease"
	"cowslipshunt.example/shared/tabletest"
	"cowslipshunt.example/wire"
)

// TestOddLeaseRowIsNeverTakenOver guards against two holders: a row that no keeper has written does not say which epoch was held last, nor
// that its holder's term is over.
func TestOddLeaseRowIsNeverTakenOver(t *testing.T) {
	for _, value := range []string{
		"", "\xff", "[]", strings.Repeat("[", 1_000_000), `{"Epoch":1e400}`, `{"Epoch":"1"}`, `{"Epoch":9223372036854775807}`, `{"Epoch":-1}`,
		`{"Epoch":1,"Incarnation":"x","TermMillis":9223372036854775807}`, `{"Epoch":1,"Incarnation":"x","TermMillis":-9223372036854775}`,
		`{"Epoch":1,"Renewal":9223372036854775807}`,
	} {
		t.Run(fmt.Sprintf("%.60q", value), func(t *testing.T) {
			table := tabletest.New()
			table.Commit(wire.TransactRequest{Writes: []wire.Write{{Table: lease.TableName, Key: string(lease.Usage), Value: []byte(value)}}})
			clocks := &driftingClocks{monotonicRate: 1, wallRate: 1}
			k := lease.NewKeeper(lease.Usage, lease.Identity{Instance: "a", Incarnation: "a"}, table, clocks, lease.WithTerm(testTerm), lease.WithOrderTimeout(testTimeout))
			for range 50 {
				err := k.Step(t.Context())
				if k.Belief().Holds {
					t.Fatalf("the lease was taken over at epoch %d", k.Belief().Epoch)
				}
				if err == nil {
					t.Fatal("the row was taken as one of a keeper")
				}
				clocks.advance(time.Second)
			}
		})
	}
}

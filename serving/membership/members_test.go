package membership_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cowslipshunt.example/serving/membership"
	"cowslipshunt.example/shared/tabletest"
	"cowslipshunt.example/wire"
)

func TestMembersAreListedUntilTheyAreStale(t *testing.T) {
	table := tabletest.New()
	now := time.Unix(1e9, 0)
	clock := func() time.Time { return now }
	registrations := map[string]*membership.Registration{}
	for _, name := range []string{"a", "b", "c"} {
		registrations[name] = membership.NewRegistration(table, wire.InstanceName(name), "d", name+":1", clock)
		if _, err := registrations[name].Refresh(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	expectMembers := func(name string, want int) {
		t.Helper()
		peers, err := registrations[name].Refresh(t.Context())
		if err != nil || len(peers)+1 != want {
			t.Errorf("%s has the peers %v, %v; want %d", name, peers, err, want-1)
		}
	}
	expectMembers("a", 3)
	if err := registrations["b"].Leave(t.Context()); err != nil {
		t.Fatal(err)
	}
	expectMembers("a", 2)
	for _, want := range []int{2, 2, 1, 1} {
		now = now.Add(membership.RefreshInterval)
		expectMembers("a", want)
	}
	if rows := table.Rows(membership.TableName, ""); len(rows) != 1 {
		t.Errorf("%d rows are left", len(rows))
	}
}

func TestUndecodableMemberRowIsIgnored(t *testing.T) {
	table := tabletest.New()
	table.Commit(wire.TransactRequest{Writes: []wire.Write{{Table: membership.TableName, Key: "x", Value: []byte("{")}}})
	r := membership.NewRegistration(table, "a", "d", "a:1", func() time.Time { return time.Unix(1e9, 0) })
	if peers, err := r.Refresh(t.Context()); len(peers) != 0 || err != nil {
		t.Errorf("got %v, %v", peers, err)
	}
}

// TestOddMemberRowsAreRemoved guards against rows of another writer that count as instances for ever, or end the process.
func TestOddMemberRowsAreRemoved(t *testing.T) {
	table := tabletest.New()
	nested := strings.Repeat("[", 1_000_000)
	for i, value := range []string{"", "\xff", nested, `{"Seen":` + nested, `{"Seen":1e400}`, `{"Seen":"now"}`, `{"Seen":-9223372036854775808}`,
		`{"Domain":["d"],"Seen":1000000000000}`, `{"Address":"x:1","Domain":"d","Seen":9223372036854775807}`} {
		table.Commit(wire.TransactRequest{Writes: []wire.Write{{Table: membership.TableName, Key: fmt.Sprint("odd-", i), Value: []byte(value)}}})
	}
	clock := func() time.Time { return time.Unix(1e9, 0) }
	if _, err := membership.NewRegistration(table, "b", "d", "b:1", clock).Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	peers, err := membership.NewRegistration(table, "a", "d", "a:1", clock).Refresh(t.Context())
	if len(peers) != 1 || err != nil {
		t.Errorf("got %v, %v", peers, err)
	}
	if rows := table.Rows(membership.TableName, ""); len(rows) != 2 {
		t.Errorf("%d rows are left, want 2", len(rows))
	}
}

// TestRowRefreshedMeanwhileDoesNotFailOwnRefresh refreshes a stale row of another instance between the read and the write of a refresh,
// which would remove it. The other row has to stay, and the own row has to be written.
func TestRowRefreshedMeanwhileDoesNotFailOwnRefresh(t *testing.T) {
	table := tabletest.New()
	now := time.Unix(1e9, 0)
	clock := func() time.Time { return now }
	own := membership.NewRegistration(table, "a", "d", "a:1", clock)
	other := membership.NewRegistration(table, "b", "d", "b:1", clock)
	if _, err := other.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	now = now.Add(time.Hour)
	calls := 0
	table.Delay = func() {
		// Range calls Delay before and after it reads.
		if calls++; calls == 2 {
			row := table.Rows(membership.TableName, "b")[0]
			table.Commit(wire.TransactRequest{Writes: []wire.Write{{Table: membership.TableName, Key: "b", Value: row.Value}}})
		}
	}
	if _, err := own.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	if rows := table.Rows(membership.TableName, ""); len(rows) != 2 {
		t.Errorf("%d rows are left, want that of each instance", len(rows))
	}
}

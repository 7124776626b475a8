package proof

import (
	"fmt"
	"maps"
	"net/http"
	"sync"
	"testing"

	"cowslipshunt.example/wire"
)

// bill is the usage billed to a workspace: requests and output tokens.
type bill struct {
	requests int
	tokens   int
}

// bills holds the bill of each workspace.
type bills map[wire.WorkspaceName]bill

func (b bills) add(workspace wire.WorkspaceName, requests, tokens int) {
	sum := b[workspace]
	b[workspace] = bill{requests: sum.requests + requests, tokens: sum.tokens + tokens}
}

// billedUsage sums the totals in the usage table over all incarnations of all entries.
func (s *system) billedUsage() bills {
	sums := bills{}
	for _, row := range s.rows("usage") {
		var usage wire.UsageRow
		decodeJSON(string(row.Value), &usage)
		for _, f := range usage.Totals.Figures {
			sums.add(f.Workspace, f.Requests, int(f.OutputTokens))
		}
	}
	return sums
}

// rows reads all rows of one of the platform's tables.
func (s *system) rows(table string) []wire.Row {
	var answer wire.RowsAnswer
	body := fmt.Sprintf(`{"Table":%q,"Prefix":"","After":"","Limit":1000}`, table)
	res := newCaller("").call(http.MethodPost, s.platformAddress, "/table/scan", body, http.Header{"Content-Type": {"application/json"}})
	decodeJSON(res.body, &answer)
	return answer.Rows
}

// billingLoad sends requests of both workspaces until it is stopped and counts the answers.
type billingLoad struct {
	s    *system
	stop chan struct{}
	work sync.WaitGroup
	mu   sync.Mutex
	// complete counts requests with a complete answer; unknown counts those that may have run.
	complete, unknown bills
	refused           int
}

const billingStreamTokens = 20

func startBillingLoad(s *system, each int) *billingLoad {
	l := &billingLoad{s: s, stop: make(chan struct{}), complete: bills{}, unknown: bills{}}
	for i := range each {
		l.work.Go(func() { l.run(testKey, testWorkspace, i) })
		l.work.Go(func() { l.run(otherKey, otherWorkspace, i) })
	}
	return l
}

func (l *billingLoad) run(key string, workspace wire.WorkspaceName, i int) {
	caller := newCaller(key)
	for n := 0; !l.stopped(); n++ {
		m := l.s.instances[(i+n)%len(l.s.instances)]
		prompt := fmt.Sprintf("%s caller %d asks %d", workspace, i, n)
		if n%2 == 0 {
			l.record(workspace, caller.stream(m.address, prompt, billingStreamTokens, nil), billingStreamTokens)
		} else {
			l.record(workspace, caller.book(m.address, prompt, ""), 0)
		}
	}
}

func (l *billingLoad) stopped() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

func (l *billingLoad) record(workspace wire.WorkspaceName, res result, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case res.complete && res.status == http.StatusOK:
		l.complete.add(workspace, 1, tokens)
	case res.outcome == "NotRun":
		l.refused++
	default:
		l.unknown.add(workspace, 1, tokens)
	}
}

func (l *billingLoad) finish() {
	close(l.stop)
	l.work.Wait()
}

// completeAnswers counts the complete answers so far.
func (l *billingLoad) completeAnswers() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, sum := range l.complete {
		n += sum.requests
	}
	return n
}

// waitAnswers waits until so many more answers are complete.
func (l *billingLoad) waitAnswers(t *testing.T, more int) {
	t.Helper()
	want := l.completeAnswers() + more
	eventually(t, fmt.Sprintf("%d more complete answers", more), func() bool { return l.completeAnswers() >= want })
}

// waitBilled waits until the table has the usage of every answer that is complete by now. Usage is protected against one
// failure at a time, so a test waits for this before it kills the next entry.
func (l *billingLoad) waitBilled(t *testing.T) {
	t.Helper()
	l.mu.Lock()
	complete := maps.Clone(l.complete)
	l.mu.Unlock()
	eventually(t, "every complete answer is billed", func() bool {
		billed := l.s.billedUsage()
		for workspace, sum := range complete {
			if billed[workspace].requests < sum.requests || billed[workspace].tokens < sum.tokens {
				return false
			}
		}
		return len(complete) == 2
	})
}

// check waits until every complete answer is billed, and checks that no workspace is billed for more than it requested.
func (l *billingLoad) check(t *testing.T) {
	t.Helper()
	l.waitBilled(t)
	billed := l.billedAfterStop(t)
	for workspace, complete := range l.complete {
		got, unknown := billed[workspace], l.unknown[workspace]
		if got.requests > complete.requests+unknown.requests || got.tokens > complete.tokens+unknown.tokens {
			t.Errorf("%s: billed %+v, complete %+v, unknown %+v", workspace, got, complete, unknown)
		}
		t.Logf("%s: billed %+v, complete %+v, unknown %+v", workspace, got, complete, unknown)
	}
	t.Logf("%d requests were refused as NotRun", l.refused)
}

// billedAfterStop stops every entry, which stores the usage it has recorded, and returns the bills once they no longer change.
func (l *billingLoad) billedAfterStop(t *testing.T) bills {
	t.Helper()
	for _, m := range l.s.instances {
		if code := m.entry.stop(t); code != 0 {
			t.Errorf("%s exited %d", m.name, code)
		}
	}
	before := bills{}
	billed := l.s.billedUsage()
	for !maps.Equal(before, billed) {
		before, billed = billed, l.s.billedUsage()
	}
	return billed
}

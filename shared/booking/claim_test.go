package booking_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"cowslipshunt.example/shared/booking"
	"cowslipshunt.example/shared/tabletest"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"
)

// hurried is a clock whose waits end at once.
type hurried struct {
	clockwork.Clock
}

func (hurried) After(time.Duration) <-chan time.Time {
	c := make(chan time.Time, 1)
	c <- time.Time{}
	return c
}

// running is a claim that some entry holds.
type running struct {
	key    booking.Key
	claim  *booking.Claim
	answer booking.Answer
}

// model drives several entries' claims over one faulty table, and counts runs.
type model struct {
	table   *tabletest.Table
	entries []*booking.Claims
	runs    map[booking.Key]int
	answers map[booking.Key]string
	open    []running
	begun   []*booking.Claim
	owner   map[*booking.Claim]int
	cancel  context.CancelFunc
}

func newModel(t *rapid.T) *model {
	m := &model{table: tabletest.New(), runs: map[booking.Key]int{}, answers: map[booking.Key]string{}, cancel: func() {}, owner: map[*booking.Claim]int{}}
	faults := rapid.SampledFrom([]tabletest.Fault{tabletest.None, tabletest.None, tabletest.Refused, tabletest.Lost, tabletest.Late})
	m.table.Fault = func() tabletest.Fault {
		if rapid.IntRange(0, 5).Draw(t, "patience") == 0 {
			m.cancel()
		}
		return faults.Draw(t, "fault")
	}
	for i := range 3 {
		id := wire.IncarnationId(fmt.Sprint("entry-", i))
		m.entries = append(m.entries, booking.NewClaims(m.table, id, hurried{clockwork.NewFakeClock()}))
	}
	return m
}

func (m *model) context() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	return ctx
}

func (m *model) begin(t *rapid.T) {
	key := booking.Key{Workspace: "w", Digest: wire.Digest(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"))}
	entry := rapid.IntRange(0, len(m.entries)-1).Draw(t, "entry")
	claim, err := m.entries[entry].Begin(m.context(), key, "request")
	var done *booking.DoneError
	var table *booking.TableError
	switch {
	case err == nil:
		m.runs[key]++
		if m.runs[key] > 1 {
			t.Fatalf("%v runs a second time", key)
		}
		m.owner[claim] = entry
		m.open = append(m.open, running{key: key, claim: claim, answer: booking.Answer{Status: 200, Body: []byte(fmt.Sprint("answer of ", entry))}})
	case errors.As(err, &done):
		if want := m.answers[key]; want == "" || string(done.Answer.Body) != want {
			t.Fatalf("%v has the answer %q, not %q", key, done.Answer.Body, want)
		}
	case errors.As(err, &table) && claim != nil:
		m.owner[claim] = entry
		m.begun = append(m.begun, claim)
	}
}

func (m *model) take(t *rapid.T) (running, bool) {
	if len(m.open) == 0 {
		return running{}, false
	}
	i := rapid.IntRange(0, len(m.open)-1).Draw(t, "open")
	r := m.open[i]
	m.open = append(m.open[:i:i], m.open[i+1:]...)
	return r, true
}

// TestClaimedRequestRunsAtMostOnce begins, finishes, doubts and releases claims at several entries while the table refuses,
// loses answers and delivers writes late.
func TestClaimedRequestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"begin": m.begin,
			"late":  func(*rapid.T) { m.table.DeliverLate() },
			"finish": func(t *rapid.T) {
				if r, ok := m.take(t); ok {
					m.answers[r.key] = string(r.answer.Body)
					if m.entries[m.owner[r.claim]].Finish(m.context(), r.claim, r.answer) != nil {
						m.open = append(m.open, r)
					}
				}
			},
			"doubt": func(t *rapid.T) {
				if r, ok := m.take(t); ok {
					_ = m.entries[m.owner[r.claim]].Doubt(m.context(), r.claim)
				}
			},
			"notRun": func(t *rapid.T) {
				if r, ok := m.take(t); ok && m.answers[r.key] == "" {
					m.runs[r.key]--
					_ = m.entries[m.owner[r.claim]].Release(m.context(), r.claim)
				}
			},
			"forget": func(t *rapid.T) {
				if len(m.begun) > 0 {
					claim := m.begun[0]
					m.begun = m.begun[1:]
					_ = m.entries[m.owner[claim]].Release(m.context(), claim)
				}
			},
		})
	})
}

// TestReleaseOfAnUnansweredClaimFreesTheKey loses the answer of a claim's write, and demands that the release finds the row.
func TestReleaseOfAnUnansweredClaimFreesTheKey(t *testing.T) {
	table := tabletest.New()
	claims := booking.NewClaims(table, "entry", hurried{clockwork.NewFakeClock()})
	key := booking.Key{Workspace: "w", Digest: "k"}
	ctx, cancel := context.WithCancel(t.Context())
	table.Fault = func() tabletest.Fault {
		cancel()
		return tabletest.Lost
	}
	claim, err := claims.Begin(ctx, key, "request")
	if err == nil {
		t.Fatal("a lost answer began a claim")
	}
	table.Fault = func() tabletest.Fault { return tabletest.None }
	if err := claims.Release(t.Context(), claim); err != nil {
		t.Fatal(err)
	}
	if _, err := claims.Begin(t.Context(), key, "request"); err != nil {
		t.Errorf("the key is still taken: %v", err)
	}
}

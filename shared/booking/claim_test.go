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

// instantClock is a clock whose timers fire at once.
type instantClock struct {
	clockwork.Clock
}

func (instantClock) After(time.Duration) <-chan time.Time {
	c := make(chan time.Time, 1)
	c <- time.Time{}
	return c
}

// openClaim is a claim that an entry holds, with the answer of its request.
type openClaim struct {
	key    booking.Key
	claim  *booking.Claim
	answer booking.Answer
}

// claimModel drives the claims of several entries over one faulty table and counts how often each request is executed.
type claimModel struct {
	table   *tabletest.Table
	entries []*booking.Claims
	runs    map[booking.Key]int
	answers map[booking.Key]string
	open    []openClaim
	// unanswered are claims whose write got no answer from the table.
	unanswered []*booking.Claim
	owner      map[*booking.Claim]int
	cancel     context.CancelFunc
}

func newClaimModel(t *rapid.T) *claimModel {
	m := &claimModel{table: tabletest.New(), runs: map[booking.Key]int{}, answers: map[booking.Key]string{}, cancel: func() {}, owner: map[*booking.Claim]int{}}
	faults := rapid.SampledFrom([]tabletest.Fault{tabletest.None, tabletest.None, tabletest.Refused, tabletest.Lost, tabletest.Late})
	m.table.Fault = func() tabletest.Fault {
		if rapid.IntRange(0, 5).Draw(t, "cancel") == 0 {
			m.cancel()
		}
		return faults.Draw(t, "fault")
	}
	for i := range 3 {
		id := wire.IncarnationId(fmt.Sprint("entry-", i))
		m.entries = append(m.entries, booking.NewClaims(m.table, id, instantClock{clockwork.NewFakeClock()}))
	}
	return m
}

// context returns a context that a fault of the table may cancel.
func (m *claimModel) context() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	return ctx
}

func (m *claimModel) begin(t *rapid.T) {
	key := booking.Key{Workspace: "w", Digest: wire.Digest(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"))}
	entry := rapid.IntRange(0, len(m.entries)-1).Draw(t, "entry")
	claim, err := m.entries[entry].Begin(m.context(), key, "request")
	var done *booking.DoneError
	var tableErr *booking.TableError
	switch {
	case err == nil:
		m.runs[key]++
		if m.runs[key] > 1 {
			t.Fatalf("the request of %v is executed a second time", key)
		}
		m.owner[claim] = entry
		m.open = append(m.open, openClaim{key: key, claim: claim, answer: booking.Answer{Status: 200, Body: []byte(fmt.Sprint("answer of ", entry))}})
	case errors.As(err, &done):
		if want := m.answers[key]; want == "" || string(done.Answer.Body) != want {
			t.Fatalf("the stored answer of %v is %q, want %q", key, done.Answer.Body, want)
		}
	case errors.As(err, &tableErr) && claim != nil:
		m.owner[claim] = entry
		m.unanswered = append(m.unanswered, claim)
	}
}

// takeOpen removes a random claim from the open ones and returns it.
func (m *claimModel) takeOpen(t *rapid.T) (openClaim, bool) {
	if len(m.open) == 0 {
		return openClaim{}, false
	}
	i := rapid.IntRange(0, len(m.open)-1).Draw(t, "open")
	r := m.open[i]
	m.open = append(m.open[:i:i], m.open[i+1:]...)
	return r, true
}

// TestClaimedRequestRunsAtMostOnce begins and finishes claims, marks their outcome as unknown and releases them at several
// entries, while the table rejects writes, loses answers and applies writes late. No request may be executed twice, and a repeat
// must get the stored answer.
func TestClaimedRequestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newClaimModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"begin": m.begin,
			"late":  func(*rapid.T) { m.table.ApplyLate() },
			"finish": func(t *rapid.T) {
				if r, ok := m.takeOpen(t); ok {
					m.answers[r.key] = string(r.answer.Body)
					if m.entries[m.owner[r.claim]].Finish(m.context(), r.claim, r.answer) != nil {
						m.open = append(m.open, r)
					}
				}
			},
			"mark unknown": func(t *rapid.T) {
				if r, ok := m.takeOpen(t); ok {
					_ = m.entries[m.owner[r.claim]].MarkUnknown(m.context(), r.claim)
				}
			},
			"notRun": func(t *rapid.T) {
				if r, ok := m.takeOpen(t); ok && m.answers[r.key] == "" {
					m.runs[r.key]--
					_ = m.entries[m.owner[r.claim]].Release(m.context(), r.claim)
				}
			},
			"release unanswered": func(t *rapid.T) {
				if len(m.unanswered) > 0 {
					claim := m.unanswered[0]
					m.unanswered = m.unanswered[1:]
					_ = m.entries[m.owner[claim]].Release(m.context(), claim)
				}
			},
		})
	})
}

// TestReleaseAfterLostAnswerFreesTheKey loses the answer to the write of a claim. Release must still find and delete the row, or
// the key would stay claimed for good.
func TestReleaseAfterLostAnswerFreesTheKey(t *testing.T) {
	table := tabletest.New()
	claims := booking.NewClaims(table, "entry", instantClock{clockwork.NewFakeClock()})
	key := booking.Key{Workspace: "w", Digest: "k"}
	ctx, cancel := context.WithCancel(t.Context())
	table.Fault = func() tabletest.Fault {
		cancel()
		return tabletest.Lost
	}
	claim, err := claims.Begin(ctx, key, "request")
	if err == nil {
		t.Fatal("Begin succeeded although the answer of its write was lost")
	}
	table.Fault = func() tabletest.Fault { return tabletest.None }
	if err := claims.Release(t.Context(), claim); err != nil {
		t.Fatal(err)
	}
	if _, err := claims.Begin(t.Context(), key, "request"); err != nil {
		t.Errorf("the key is still claimed: %v", err)
	}
}

package relay_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

// gatedSender is a sender that waits for a connection before each write. connect is called during the wait; answer returns what the
// endpoint does with what was written, nil for a lost connection. Both may send further requests.
type gatedSender struct {
	connect func(e *roster.Endpoint, a *relay.Attempt)
	answer  func(e *roster.Endpoint, a *relay.Attempt) *relay.Answer
	clock   clockwork.Clock
	// mu is held during a send, so that the sends of a request to two endpoints come one after the other; it may be nil. What sends further
	// requests from connect or answer releases it meanwhile.
	mu *sync.Mutex
	// freed answers the call that frees a KV cache; it is nil if there is no answer.
	freed *relay.Answer
	// frees counts the calls that free a KV cache.
	frees int
	// writes are the attempts that were written, in order.
	writes []write
}

// write is an attempt that was written to an endpoint.
type write struct {
	endpoint string
	attempt  relay.Attempt
}

func (s *gatedSender) Send(_ context.Context, e *roster.Endpoint, a *relay.Attempt) (*relay.Answer, error) {
	if s.mu != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
	}
	if s.connect != nil {
		s.connect(e, a)
	}
	if err := a.Permit(e, s.clock.Now()); err != nil {
		return nil, err
	}
	s.writes = append(s.writes, write{endpoint: string(e.Entry().ID), attempt: *a})
	if answer := s.answer(e, a); answer != nil {
		return answer, nil
	}
	return nil, errors.New("reset")
}

func (s *gatedSender) Prefilled(a *relay.Answer) (string, error) {
	text, err := a.Body.All()
	return string(text), err
}

func (s *gatedSender) Free(source *relay.Source, answered func(*relay.Answer)) {
	if source.Permit(s.clock.Now()) != nil {
		return
	}
	s.frees++
	if s.freed != nil {
		answered(s.freed)
	}
}

// writesTo counts the attempts that were written to an endpoint.
func (s *gatedSender) writesTo(id string) int {
	n := 0
	for _, w := range s.writes {
		if w.endpoint == id {
			n++
		}
	}
	return n
}

// success is the complete answer to an attempt: a prefill, or a text that is also a stream of streamEvents events.
func success(e *roster.Endpoint, a *relay.Attempt) *relay.Answer {
	if a.PrefillOnly {
		return &relay.Answer{Status: 200, Body: &body{text: "handle"}}
	}
	return &relay.Answer{Status: 200, Header: relay.Header{"From": {string(e.Entry().ID)}}, Body: &body{text: "whole", next: 1}}
}

// gatedHarness is a harness with a gatedSender, on a clock that only the test advances. The clock is ahead of the time of day, so that no
// deadline passes by itself.
type gatedHarness struct {
	*harness
	sender *gatedSender
	clock  *clockwork.FakeClock
	n      atomic.Int64
}

func newGatedHarness(s *gatedSender) *gatedHarness {
	h := &gatedHarness{harness: newHarness(always(succeeds)), sender: s, clock: clockwork.NewFakeClockAt(time.Now().Add(time.Hour))}
	s.clock = h.clock
	if s.answer == nil {
		s.answer = success
	}
	bounds := relay.BudgetBounds{Window: 10 * time.Second, Ratio: budgetRatio, Slack: 100}
	h.relay = relay.New(h.directory, s, h.recorder, h.recorder, h.clock, "a", bounds)
	h.relay.SetTable(table(1))
	return h
}

// ask sends a request with a long prompt to the route of a path.
func (h *gatedHarness) ask(t *testing.T, path string) *fakeCaller {
	t.Helper()
	id := fmt.Sprint("r", h.n.Add(1))
	return h.serve(t.Context(), &relay.Request{ID: wire.RequestId(id), Arrived: h.clock.Now(), Method: "POST", Path: path, Host: "h", Prompt: prompt()})
}

// only leaves no other endpoints of the plain service listed than those given.
func (h *gatedHarness) only(ids ...string) {
	for _, e := range h.directory.View().Service(plainService) {
		if id := e.Entry().ID; !slices.Contains(ids, string(id)) {
			h.directory.Remove(id, h.clock.Now())
		}
	}
}

// steps returns the steps of the decisions on a request.
func (h *gatedHarness) steps(id string) []string {
	var steps []string
	for _, d := range h.recorder.decisions {
		if string(d.Request) == id {
			steps = append(steps, d.Step)
		}
	}
	return steps
}

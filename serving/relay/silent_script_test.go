package relay_test

import (
	"context"
	"net"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

// step answers one send.
type step func(ctx context.Context, a *relay.Attempt) (*relay.Answer, error)

// stepSender answers prefills and runs by a script each. Sends after the last step of a script are rejected.
type stepSender struct {
	// world is that of the request, for steps that change it.
	world *world

	mu                 sync.Mutex
	prefills, runs     []step
	asked, ran         int
	prefilled, settled int
}

func (s *stepSender) Send(ctx context.Context, _ *roster.Endpoint, a *relay.Attempt) (*relay.Answer, error) {
	return s.next(a)(ctx, a)
}

func (s *stepSender) next(a *relay.Attempt) step {
	s.mu.Lock()
	defer s.mu.Unlock()
	script, n := s.runs, &s.ran
	if a.PrefillOnly {
		script, n = s.prefills, &s.asked
	}
	*n++
	if *n > len(script) {
		return rejectsAfter(0)
	}
	return script[*n-1]
}

func (s *stepSender) Prefilled(*relay.Answer) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prefilled++
	return strconv.Itoa(s.prefilled), nil
}

func (s *stepSender) Free(*relay.Source, func(*relay.Answer)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settled++
}

// rejectsAfter rejects a send after a time.
func rejectsAfter(d time.Duration) step {
	return func(ctx context.Context, _ *relay.Attempt) (*relay.Answer, error) {
		select {
		case <-ctx.Done():
			return nil, net.ErrClosed
		case <-time.After(d):
		}
		return &relay.Answer{Status: 503, NotRun: true, Body: &body{}}, nil
	}
}

// answersAfter answers a send with all that is left of a stream after a time, or with the handle of a KV cache.
func answersAfter(d time.Duration) step {
	return func(ctx context.Context, a *relay.Attempt) (*relay.Answer, error) {
		select {
		case <-ctx.Done():
			return nil, net.ErrClosed
		case <-time.After(d):
		}
		return wholeAnswer(ctx, a)
	}
}

// answersAsItEnds answers a send at the moment at which its context ends.
func answersAsItEnds(ctx context.Context, a *relay.Attempt) (*relay.Answer, error) {
	<-ctx.Done()
	return wholeAnswer(ctx, a)
}

// rejectsAsItEnds rejects a send at the moment at which its context ends.
func rejectsAsItEnds(ctx context.Context, _ *relay.Attempt) (*relay.Answer, error) {
	<-ctx.Done()
	return &relay.Answer{Status: 503, NotRun: true, Body: &body{}}, nil
}

// fallsSilentFor sends a part of a stream, is silent for a time and goes on.
func fallsSilentFor(d time.Duration) step {
	return func(ctx context.Context, a *relay.Attempt) (*relay.Answer, error) {
		return &relay.Answer{Status: 200, EventStream: true, Header: relay.Header{"From": {""}}, Body: &pausingBody{ctx: ctx, next: nextEvent(a), pause: d}}, nil
	}
}

func nextEvent(a *relay.Attempt) int {
	last, err := strconv.Atoi(a.LastEvent)
	if err != nil {
		return 1
	}
	return last + 1
}

func wholeAnswer(ctx context.Context, a *relay.Attempt) (*relay.Answer, error) {
	return &relay.Answer{Status: 200, EventStream: true, Header: relay.Header{"From": {""}}, Body: &pausingBody{ctx: ctx, next: nextEvent(a)}}, nil
}

// pausingBody is a stream that pauses before its third event, and before each later one if again is set.
type pausingBody struct {
	body
	ctx   context.Context
	next  int
	pause time.Duration
	again bool
}

// Next returns the next event.
func (b *pausingBody) Next() (relay.Event, error) {
	if b.next > streamEvents/2 {
		pause := b.pause
		if !b.again {
			b.pause = 0
		}
		select {
		case <-b.ctx.Done():
			return relay.Event{}, net.ErrClosed
		case <-time.After(pause):
		}
	}
	events := body{next: b.next}
	b.next++
	return events.Next()
}

// playScript serves a resumable stream by a script, with a retry budget of the given number of sends.
func playScript(t *testing.T, tokens int, retries float64, s *stepSender) *worldCaller {
	t.Helper()
	return playScriptWith(t, tokens, retries, 2, s)
}

// playScriptWith is like playScript, for a route that allows the given number of runs.
func playScriptWith(t *testing.T, tokens int, retries float64, attempts int, s *stepSender) *worldCaller {
	t.Helper()
	p := &worldPlan{budget: []budgetChange{{slack: retries}}, tables: []tableChange{{maxAttempts: attempts}}}
	p.stream(0).tokens = tokens
	for _, stage := range []roster.Stage{roster.Prefill, roster.Decode} {
		for i := range 3 {
			id := wire.EndpointId(stageName(stage) + strconv.Itoa(i))
			p.endpoints = append(p.endpoints, &placedEndpoint{entry: roster.Entry{Key: roster.Key{ID: id}, Service: engineService, Domain: "a", Stage: stage, Slots: 4}})
		}
	}
	var c *worldCaller
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(p)
		w.relay = relay.New(w.directory, s, w, w, clockwork.NewRealClock(), "a", relay.BudgetBounds{Window: worldWindow, Slack: retries})
		w.relay.SetTable(w.table(0))
		s.world = w
		w.play(t.Context())
		c = w.callers["r0"]
		for _, fault := range w.checkLoad() {
			t.Error(fault)
		}
	})
	return c
}

// longPrompt is the length of a prompt that is prefilled separately, in tokens.
const longPrompt = 9000

// TestCacheOfAReplacedPrefillIsFreed guards against KV caches that stay at their engine until they expire: two engines have prefilled the
// prompt at the same moment.
func TestCacheOfAReplacedPrefillIsFreed(t *testing.T) {
	for name, prefills := range map[string][]step{
		"the first one answers as the other one is taken":  {answersAsItEnds, answersAfter(tick)},
		"the other one answers as the first one goes on":   {answersAfter(2 * time.Second), answersAsItEnds},
		"the first one answers as the prefill is given up": {answersAsItEnds, rejectsAfter(0)},
	} {
		fetched := 0
		s := &stepSender{prefills: prefills, runs: []step{func(ctx context.Context, a *relay.Attempt) (*relay.Answer, error) {
			if a.Source != nil {
				fetched++
			}
			return wholeAnswer(ctx, a)
		}}}
		if c := playScript(t, longPrompt, 5, s); !c.ended || s.prefilled != fetched+s.settled {
			t.Errorf("%s: got %v; of %d caches %d were fetched and %d freed", name, c, s.prefilled, fetched, s.settled)
		}
	}
}

// TestRejectionOfAReplacedSendCounts guards against KV caches that stay at their engine, and endpoints that count as failed: a silent endpoint
// has rejected the request at the moment at which another one takes it.
func TestRejectionOfAReplacedSendCounts(t *testing.T) {
	s := &stepSender{prefills: []step{answersAfter(0)}, runs: []step{rejectsAsItEnds, answersAfter(tick)}}
	if c := playScript(t, longPrompt, 5, s); !c.ended || s.ran != 2 || s.settled != 1 {
		t.Errorf("got %v after %d sends; %d caches were freed", c, s.ran, s.settled)
	}
}

// TestSecondPrefillIsNoFirstSend guards against sends beyond the retry budget: two engines have prefilled the prompt at the same moment, only one
// of these prefills is free, and the runs are rejected.
func TestSecondPrefillIsNoFirstSend(t *testing.T) {
	for retries := range 5 {
		s := &stepSender{prefills: []step{answersAsItEnds, answersAfter(tick)}, runs: []step{rejectsAfter(0)}}
		c := playScript(t, longPrompt, float64(retries), s)
		if repeats := max(s.prefilled-1, 0) + max(s.ran-1, 0); repeats > retries || c.refusal == nil || c.refusal.Verdict != relay.NotRun {
			t.Errorf("with a budget of %d: got %v after %d prefills and %d runs", retries, c, s.prefilled, s.ran)
		}
	}
}

// withdrawn is a send that is not sent, as its endpoint has asked for a pause.
func withdrawn(context.Context, *relay.Attempt) (*relay.Answer, error) {
	return nil, &relay.WithdrawnError{Reason: "the endpoint leaves"}
}

// TestWithdrawnSendOfAHandoverPaysForNoLaterOne guards against sends beyond the retry budget: a send that was taken from it and withdrawn paid
// for one that was made much later, when the budget had been 0 for longer than its window.
func TestWithdrawnSendOfAHandoverPaysForNoLaterOne(t *testing.T) {
	s := &stepSender{}
	rejectsLate := func(ctx context.Context, a *relay.Attempt) (*relay.Answer, error) {
		<-time.After(time.Second)
		s.world.relay.SetBudget(0, 0)
		<-time.After(3 * time.Second)
		s.world.directory.Put(roster.Entry{Key: roster.Key{ID: "later"}, Service: engineService, Domain: "a", Stage: roster.Decode, Slots: 4})
		return rejectsAfter(0)(ctx, a)
	}
	s.runs = []step{rejectsLate, withdrawn, withdrawn, answersAfter(0)}
	if c := playScript(t, 200, 1, s); s.ran != 3 || c.refusal == nil || c.refusal.Verdict != relay.NotRun {
		t.Errorf("got %v after %d sends, of which two were withdrawn", c, s.ran)
	}
}

// breaksOffAfter runs a request and loses its answer after a time.
func breaksOffAfter(d time.Duration) step {
	return func(context.Context, *relay.Attempt) (*relay.Answer, error) {
		<-time.After(d)
		return nil, net.ErrClosed
	}
}

// panicsAfter makes the sender panic after a time.
func panicsAfter(d time.Duration) step {
	return func(context.Context, *relay.Attempt) (*relay.Answer, error) {
		<-time.After(d)
		panic("malformed answer")
	}
}

// TestSendThatPanickedCountsAsRun guards against requests that run more often than their route allows: the silent endpoint has failed, and the
// send to the other one ended with a panic.
func TestSendThatPanickedCountsAsRun(t *testing.T) {
	s := &stepSender{runs: []step{breaksOffAfter(1500 * time.Millisecond), panicsAfter(time.Second), answersAfter(0)}}
	if c := playScript(t, 200, 5, s); s.ran != 2 {
		t.Errorf("got %v after %d runs, of at most 2", c, s.ran)
	}
}

package relay_test

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/roster"
	"github.com/jonboulle/clockwork"
)

// sendStep is what an endpoint does with one send.
type sendStep func(ctx context.Context, a *relay.Attempt) (*relay.Answer, error)

// sendScript is a sender whose endpoints do with each prefill, and with each run of the request, what the next step says, and then what the
// last one says.
type sendScript struct {
	mu             sync.Mutex
	prefill, run   []sendStep
	prefills, runs int
	// endpoints are those of the runs, in order; freed and fetched are handles of KV caches.
	endpoints      []*roster.Endpoint
	freed, fetched []string
}

func (s *sendScript) Send(ctx context.Context, e *roster.Endpoint, a *relay.Attempt) (*relay.Answer, error) {
	return s.next(e, a)(ctx, a)
}

func (s *sendScript) next(e *roster.Endpoint, a *relay.Attempt) sendStep {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.PrefillOnly {
		s.prefills++
		return s.prefill[min(s.prefills, len(s.prefill))-1]
	}
	s.runs++
	s.endpoints = append(s.endpoints, e)
	if a.Source != nil {
		s.fetched = append(s.fetched, a.Source.Handle)
	}
	return s.run[min(s.runs, len(s.run))-1]
}

func (s *sendScript) Prefilled(a *relay.Answer) (string, error) {
	text, err := a.Body.All()
	return string(text), err
}

func (s *sendScript) Free(source *relay.Source, _ func(*relay.Answer)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freed = append(s.freed, source.Handle)
}

// serve sends a request with a long prompt. It may run maxAttempts times, and be sent again as often as retries says.
func (s *sendScript) serve(t *testing.T, path string, maxAttempts, retries int) (*fakeCaller, *harness) {
	t.Helper()
	h := newHarness(always(succeeds))
	bounds := relay.BudgetBounds{Window: 10 * time.Second, Slack: float64(retries)}
	h.relay = relay.New(h.directory, s, h.recorder, h.recorder, clockwork.NewRealClock(), "a", bounds)
	x := table(1)
	r := x.Find("h", path)
	r.MaxAttempts, r.Timeout = maxAttempts, 6*time.Second
	h.relay.SetTable(x)
	if s.prefill == nil {
		s.prefill = []sendStep{prefilled("handle")}
	}
	return h.request(t, path), h
}

// The steps.

func isSilent(ctx context.Context, _ *relay.Attempt) (*relay.Answer, error) {
	<-ctx.Done()
	return nil, net.ErrClosed
}

func rejected(context.Context, *relay.Attempt) (*relay.Answer, error) {
	return &relay.Answer{Status: 503, NotRun: true, Body: &body{}}, nil
}

func connectionLost(context.Context, *relay.Attempt) (*relay.Answer, error) {
	return nil, errors.New("reset")
}

func neverSent(context.Context, *relay.Attempt) (*relay.Answer, error) {
	return nil, &relay.NeverSentError{Err: errors.New("refused")}
}

func panicked(context.Context, *relay.Attempt) (*relay.Answer, error) {
	panic("malformed answer")
}

func prefilled(handle string) sendStep {
	return func(context.Context, *relay.Attempt) (*relay.Answer, error) {
		return &relay.Answer{Status: 200, Body: &body{text: handle}}, nil
	}
}

// answered answers with a text, which is also a stream that begins where the attempt asks for.
func answered(ctx context.Context, a *relay.Attempt) (*relay.Answer, error) {
	return answeredWith(body{})(ctx, a)
}

func answeredWith(b body) sendStep {
	return func(ctx context.Context, a *relay.Attempt) (*relay.Answer, error) {
		b := b
		b.ctx, b.text, b.next, b.onSilence = ctx, "whole", max(b.next, 1), func() {}
		if last, err := strconv.Atoi(a.LastEvent); err == nil {
			b.next = last + 1
		}
		return &relay.Answer{Status: 200, EventStream: true, Header: relay.Header{"From": {"e"}}, Body: &b}, nil
	}
}

// uncancelled is a step that takes a time, and is not ended by the sender.
func uncancelled(d time.Duration, next sendStep) sendStep {
	return func(ctx context.Context, a *relay.Attempt) (*relay.Answer, error) {
		<-time.After(d)
		return next(ctx, a)
	}
}

// after is a step that an endpoint takes after a time.
func after(d time.Duration, next sendStep) sendStep {
	return func(ctx context.Context, a *relay.Attempt) (*relay.Answer, error) {
		select {
		case <-ctx.Done():
			return nil, net.ErrClosed
		case <-time.After(d):
			return next(ctx, a)
		}
	}
}

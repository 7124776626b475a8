package relay_test

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/roster"
)

// run answers an attempt that has a place.
func (f *silentFleet) run(ctx context.Context, s *fleetSend) (*relay.Answer, error) {
	ready := f.now() + s.prefillTime()
	stream := s.request.isStream()
	head := ready
	if stream && !s.prefill && s.endpoint.headFirst {
		head = f.now()
	}
	if err := f.await(ctx, s, head); err != nil {
		return nil, err
	}
	b := &fleetBody{fleet: f, send: s, ctx: ctx, ready: ready, next: 1}
	if s.prefill {
		return f.answer(s, &relay.Answer{Status: 200}, b), nil
	}
	if s.lastEvent != "" {
		last, err := strconv.Atoi(s.lastEvent)
		if err != nil {
			return nil, err
		}
		b.next = last + 1
	}
	b.first, b.last = b.next, head
	return f.answer(s, &relay.Answer{Status: 200, EventStream: stream}, b), nil
}

// isStream reports whether the request is for a stream, and so for an engine.
func (r *plannedRequest) isStream() bool {
	return r.path == "/stream/" || r.path == "/resume/"
}

// prefillTime is how long the endpoint takes for the prompt.
func (s *fleetSend) prefillTime() time.Duration {
	switch {
	case s.source != "", s.endpoint.entry.Stage == roster.NoStage:
		return tick
	case s.endpoint.entry.Stage == roster.Prefill:
		return time.Duration(s.request.tokens/prefillTokensPerTick+1) * tick
	}
	return time.Duration(2*s.request.tokens/prefillTokensPerTick+1) * tick
}

// answer records an answer that is passed to the relay.
func (f *silentFleet) answer(s *fleetSend, a *relay.Answer, b *fleetBody) *relay.Answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.head = f.now()
	s.opened++
	b.fleet, b.send = f, s
	a.Body, a.Leaving = b, s.endpoint.leavesAt > 0 && f.now() >= s.endpoint.leavesAt
	a.Header = relay.Header{"From": {string(s.endpoint.entry.ID)}}
	return a
}

// Prefilled returns the handle of a KV cache, from when on the relay has to see to it.
func (f *silentFleet) Prefilled(a *relay.Answer) (string, error) {
	b := a.Body.(*fleetBody)
	f.mu.Lock()
	defer f.mu.Unlock()
	b.send.data = append(b.send.data, f.now())
	b.send.whole = true
	b.send.handle = fmt.Sprintf("%s-%s-%v", b.send.request.ID, b.send.endpoint.entry.ID, b.send.begun)
	return b.send.handle, nil
}

// Free records that a KV cache was freed.
func (f *silentFleet) Free(s *relay.Source, _ func(*relay.Answer)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settled[s.Handle] = true
}

// fleetBody is the body of an answer of a silent fleet: of a stream, the events from first on, of which next is sent next.
type fleetBody struct {
	fleet *silentFleet
	send  *fleetSend
	ctx   context.Context
	// ready is when the prompt is prefilled; last is when something was sent last.
	ready, last time.Duration
	first, next int
}

// Next returns an event or a comment when it is sent.
func (b *fleetBody) Next() (relay.Event, error) {
	if err := b.interrupt(); err != nil {
		return relay.Event{}, err
	}
	r := b.send.request
	due := b.ready + time.Duration(b.next-b.first+1)*r.step
	if b.next > r.events {
		due = b.last
	}
	if c := b.last + r.commentEvery; r.commentEvery > 0 && c < due && b.send.release(c) < b.send.release(due) {
		if err := b.fleet.await(b.ctx, b.send, c); err != nil {
			return relay.Event{}, err
		}
		b.last = b.fleet.now()
		return relay.Event{Bytes: []byte(comment)}, nil
	}
	if err := b.fleet.await(b.ctx, b.send, due); err != nil {
		return relay.Event{}, err
	}
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	if b.next > r.events {
		b.send.whole, b.send.wholeAt = true, b.fleet.now()
		return relay.Event{}, io.EOF
	}
	b.last = b.fleet.now()
	b.send.data = append(b.send.data, b.last)
	id := strconv.Itoa(b.next)
	b.next++
	return relay.Event{Bytes: []byte("id: " + id + "\n\n"), ID: id, HasData: true}, nil
}

// All returns a whole answer a tick after its head.
func (b *fleetBody) All() ([]byte, error) {
	if err := b.fleet.await(b.ctx, b.send, b.last+tick); err != nil {
		return nil, err
	}
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	b.send.data = append(b.send.data, b.fleet.now())
	b.send.whole = true
	return []byte("whole"), nil
}

// Close records that the body was closed.
func (b *fleetBody) Close() {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	b.send.closed++
}

package relay_test

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/roster"
	"github.com/jonboulle/clockwork"
)

// lateSender answers the first send after silence, with a body that ends once no other endpoint has load. The others reject after that answer
// has begun.
type lateSender struct {
	sends    atomic.Int64
	released atomic.Bool
	idle     func(except *roster.Endpoint) bool
}

func (s *lateSender) Send(ctx context.Context, e *roster.Endpoint, _ *relay.Attempt) (*relay.Answer, error) {
	if s.sends.Add(1) > 1 {
		select {
		case <-ctx.Done():
			return nil, net.ErrClosed
		case <-time.After(silence):
			return &relay.Answer{Status: 503, NotRun: true, Body: &body{}}, nil
		}
	}
	<-time.After(silence)
	return &relay.Answer{Status: 200, Body: &awaitingBody{sender: s, endpoint: e}}, nil
}

func (s *lateSender) Prefilled(*relay.Answer) (string, error)     { return "", nil }
func (s *lateSender) Free(_ *relay.Source, _ func(*relay.Answer)) {}

// awaitingBody is the body of the first answer of a lateSender.
type awaitingBody struct {
	body
	sender   *lateSender
	endpoint *roster.Endpoint
}

// awaitReleaseTime is for how long the body waits for the other endpoints.
const awaitReleaseTime = 400 * time.Millisecond

// All waits until the other endpoints have no load, or for awaitReleaseTime.
func (b *awaitingBody) All() ([]byte, error) {
	for end := time.Now().Add(awaitReleaseTime); time.Now().Before(end); <-time.After(time.Millisecond) {
		if b.sender.idle(b.endpoint) {
			b.sender.released.Store(true)
			break
		}
	}
	return []byte("whole"), nil
}

// TestAskedEndpointIsReleasedBeforeTheAnswerEnds guards against endpoints that count as busy, and connections that stay open, after they have
// rejected a request: they were held for as long as the answer of the silent endpoint took to arrive.
func TestAskedEndpointIsReleasedBeforeTheAnswerEnds(t *testing.T) {
	h := newHarness(always(succeeds))
	s := &lateSender{idle: func(except *roster.Endpoint) bool {
		for _, e := range h.directory.View().All() {
			if e != except && e.OwnInFlight() > 0 {
				return false
			}
		}
		return true
	}}
	h.useSender(s)
	if c := h.request(t, "/again/"); c.text != "whole" || s.sends.Load() < 2 || !s.released.Load() {
		t.Errorf("got %q after %d sends; those that were rejected were released before the answer ended: %v", c.text, s.sends.Load(), s.released.Load())
	}
}

// useSender lets the harness send with another sender.
func (h *harness) useSender(s relay.Sender) {
	bounds := relay.BudgetBounds{Window: 10 * time.Second, Ratio: budgetRatio, Slack: 100}
	h.relay = relay.New(h.directory, s, h.recorder, h.recorder, clockwork.NewRealClock(), "a", bounds)
	h.relay.SetTable(table(1))
}

// awaitingCaller takes the first event after the silence once no endpoint but the first one has load, or after awaitReleaseTime.
type awaitingCaller struct {
	fakeCaller
	harness  *harness
	released bool
}

// Event records an event.
func (c *awaitingCaller) Event(e []byte) error {
	if strings.HasPrefix(string(e), "id: 3") {
		for end := time.Now().Add(awaitReleaseTime); !c.released && time.Now().Before(end); <-time.After(time.Millisecond) {
			c.released = true
			for id, other := range c.harness.directory.View().All() {
				c.released = c.released && (string(id) == c.from || other.OwnInFlight() == 0)
			}
		}
	}
	return c.fakeCaller.Event(e)
}

// TestAbandonedSendIsReleasedThoughTheCallerIsSlow guards against the same while the caller takes its time for the event with which the endpoint
// has gone on.
func TestAbandonedSendIsReleasedThoughTheCallerIsSlow(t *testing.T) {
	h := newHarness(firstThen(fallsSilent, hangs))
	h.sender.onSilence = func() {}
	c := &awaitingCaller{harness: h}
	h.relay.Serve(t.Context(), &relay.Request{ID: "r", Arrived: time.Now(), Method: "POST", Path: "/resume/", Host: "h", Prompt: prompt()}, c)
	if !c.ended || h.sender.runs != 2 || !c.released {
		t.Errorf("ended %v after %d runs; the abandoned send was released before the event was taken: %v", c.ended, h.sender.runs, c.released)
	}
}

package relay_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"cowslipshunt.example/serving/relay"
)

// breaksOffAfterHead accepts a stream with its head and a number of comments, and breaks off after a time.
func breaksOffAfterHead(d time.Duration, comments int) step {
	return func(ctx context.Context, _ *relay.Attempt) (*relay.Answer, error) {
		return &relay.Answer{Status: 200, EventStream: true, Header: relay.Header{"From": {""}}, Body: &brokenBody{ctx: ctx, after: d, comments: comments}}, nil
	}
}

// brokenBody is a stream that breaks off before its first event.
type brokenBody struct {
	body
	ctx      context.Context
	after    time.Duration
	comments int
}

// Next returns the comments and then the end of the connection.
func (b *brokenBody) Next() (relay.Event, error) {
	if b.comments > 0 {
		b.comments--
		return relay.Event{Bytes: []byte(comment)}, nil
	}
	select {
	case <-b.ctx.Done():
		return relay.Event{}, net.ErrClosed
	case <-time.After(b.after):
	}
	return relay.Event{}, io.ErrUnexpectedEOF
}

// TestSilentStreamIsKeptUntilAnotherEndpointSendsAnEvent guards against streams that are cut although their endpoint was silent for a while only:
// the one that took them over sent the head of a stream and broke off, and no attempt was left.
func TestSilentStreamIsKeptUntilAnotherEndpointSendsAnEvent(t *testing.T) {
	for _, comments := range []int{0, 2} {
		for _, after := range []time.Duration{0, 100 * time.Millisecond, 200 * time.Millisecond} {
			for _, attempts := range []int{2, 3} {
				s := &stepSender{runs: []step{fallsSilentFor(2 * time.Second), breaksOffAfterHead(after, comments), breaksOffAfterHead(after, comments)}}
				if c := playScriptWith(t, 200, 5, attempts, s); !c.ended || len(c.events) != streamEvents || s.ran != attempts {
					t.Errorf("%d attempts, the other endpoint breaks off after %v: got %v after %d sends", attempts, after, c, s.ran)
				}
			}
		}
	}
}

// TestSilentStreamIsKeptWhereAnotherEndpointBeginsWrong guards against the same where the other endpoint begins with another event than the next.
func TestSilentStreamIsKeptWhereAnotherEndpointBeginsWrong(t *testing.T) {
	for _, id := range []int{1, 2, 4, 5} {
		s := &stepSender{runs: []step{fallsSilentFor(2 * time.Second), beginsWith(id)}}
		if c := playScript(t, 200, 5, s); !c.ended || strings.Join(c.events, "") != completeStream() {
			t.Errorf("the other endpoint begins with event %d: got %v: %q", id, c, c.events)
		}
	}
}

// TestStreamMovesToAnEndpointThatIsSilentAfterItsHead guards against streams that are held by an endpoint that is silent for good: the other one
// has sent the head of a stream and takes longer for its first event than two runs may overlap.
func TestStreamMovesToAnEndpointThatIsSilentAfterItsHead(t *testing.T) {
	for _, d := range []time.Duration{100 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second} {
		s := &stepSender{runs: []step{fallsSilentFor(time.Hour), headThen(d, 0)}}
		if c := playScript(t, 200, 5, s); !c.ended || strings.Join(c.events, "") != completeStream() || s.ran != 2 {
			t.Errorf("silent for %v after its head: got %v after %d sends", d, c, s.ran)
		}
	}
}

// headThen accepts a stream with its head, sends comments, is silent for a time and goes on.
func headThen(d time.Duration, comments int) step {
	return func(ctx context.Context, a *relay.Attempt) (*relay.Answer, error) {
		return &relay.Answer{Status: 200, EventStream: true, Header: relay.Header{"From": {""}}, Body: &lateBody{ctx: ctx, next: nextEvent(a), after: d, comments: comments}}, nil
	}
}

// lateBody is a stream that is silent before its first event.
type lateBody struct {
	body
	ctx      context.Context
	next     int
	after    time.Duration
	comments int
}

// Next returns the comments and then the events.
func (b *lateBody) Next() (relay.Event, error) {
	if b.comments > 0 {
		b.comments--
		return relay.Event{Bytes: fmt.Appendf(nil, ": %d\n\n", b.comments)}, nil
	}
	select {
	case <-b.ctx.Done():
		return relay.Event{}, net.ErrClosed
	case <-time.After(b.after):
	}
	b.after = 0
	events := body{next: b.next}
	b.next++
	return events.Next()
}

// TestCommentsOfTheEndpointThatTakesOverArrive guards against bytes of an answer that are lost: the endpoint that took over a stream of which the
// caller had nothing sent comments before its first event.
func TestCommentsOfTheEndpointThatTakesOverArrive(t *testing.T) {
	for _, d := range []time.Duration{0, 100 * time.Millisecond, time.Second} {
		s := &stepSender{runs: []step{answersAfter(time.Hour), headThen(d, 2)}}
		want := ": 1\n\n: 0\n\n" + completeStream()
		if c := playScript(t, 200, 5, s); !c.ended || strings.Join(c.events, "") != want {
			t.Errorf("first event after %v: got %v: %q, want %q", d, c, c.events, want)
		}
	}
}

// TestFirstEndpointGoesOnBeforeTheOtherOne guards against events that come twice or not at all: both endpoints send their next event at about the
// same moment, after the other one has sent its head.
func TestFirstEndpointGoesOnBeforeTheOtherOne(t *testing.T) {
	for d := 1150 * time.Millisecond; d <= 1600*time.Millisecond; d += tick {
		s := &stepSender{runs: []step{fallsSilentFor(d), headThen(100*time.Millisecond, 1)}}
		if c := playScript(t, 200, 5, s); !c.ended || strings.Join(c.events, "") != completeStream() {
			t.Errorf("silent for %v: got %v: %q", d, c, c.events)
		}
	}
}

// lateHeadThenBreaks sends the head of a stream after a time and then breaks off.
func lateHeadThenBreaks(d, after time.Duration) step {
	return func(ctx context.Context, a *relay.Attempt) (*relay.Answer, error) {
		select {
		case <-ctx.Done():
			return nil, net.ErrClosed
		case <-time.After(d):
		}
		return breaksOffAfterHead(after, 0)(ctx, a)
	}
}

// TestOtherEndpointIsKeptUntilTheFirstSendsAnEvent guards against streams that are cut although another endpoint had begun to answer them: the
// first endpoint, silent for a while, sent the head of a stream and broke off, and no attempt was left.
func TestOtherEndpointIsKeptUntilTheFirstSendsAnEvent(t *testing.T) {
	for d := 50 * time.Millisecond; d <= 3*time.Second; d += 25 * time.Millisecond {
		s := &stepSender{runs: []step{lateHeadThenBreaks(d, 50*time.Millisecond), headThen(200*time.Millisecond, 0)}}
		if c := playScriptWith(t, 200, 5, 2, s); !c.ended || strings.Join(c.events, "") != completeStream() {
			t.Errorf("first head after %v: got %v after %d sends: %q", d, c, s.ran, c.events)
		}
	}
}

package relay_test

import (
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/roster"
)

// behaviour is what a fake endpoint does with a send.
type behaviour int

const (
	// succeeds runs the request and answers it completely.
	succeeds behaviour = iota
	// rejects answers that it did not run the request.
	rejects
	// misdirects answers as another incarnation at the same address.
	misdirects
	// unreachable receives no byte of the request.
	unreachable
	// losesAnswer runs the request, but the connection is reset before the answer arrives.
	losesAnswer
	// breaksOff runs the request, but the answer is cut in the middle.
	breaksOff
	// fails runs the request and answers with status 500.
	fails
	// hangs runs the request and sends nothing until the sender cancels.
	hangs
	// stalls runs the request and sends nothing more after the first events, or no body, until the sender cancels.
	stalls
	// answers503 answers with status 503 without stating that the request did not run.
	answers503
	// sendsComments runs the request and sends only comments after the first events, or no body, until the sender cancels.
	sendsComments
	behaviourCount
	// The behaviours below are not drawn at random: their streams are slower, or differ from those of the others.

	// sendsSlowly runs the request and sends its events at slowInterval.
	sendsSlowly
	// crashes begins to run the request and ends with all its connections.
	crashes
	// sendsNoEvents runs the request and answers with a stream that ends without an event.
	sendsNoEvents
	// fallsSilent runs the request, sends nothing for silence after the first events, and goes on.
	fallsSilent
	// stopsWhenCancelled runs the request and sends its events without a pause until the sender cancels.
	stopsWhenCancelled
	// sendsUnnumbered is like fallsSilent, but its events have no ids.
	sendsUnnumbered
	// answersLate runs the request, is silent for silence, and answers.
	answersLate
	// beginsWithComment runs the request, sends a comment, nothing for silence, and then all events.
	beginsWithComment
	// panics makes the sender panic once the endpoint has received the request.
	panics
	// breaksOffLate is like breaksOff, but calls onSilence before the answer is cut.
	breaksOffLate
)

// streamEvents is how many events a complete stream has.
const streamEvents = 5

// A fake stream that sendsComments sends comment every commentInterval, which is below the MaxPause of the routes.
const (
	comment         = ": ping\n\n"
	commentInterval = time.Millisecond
	// slowInterval is longer than a stream may pause at an endpoint before it is resumed at another one.
	slowInterval = 20 * time.Millisecond
	// silence is several times as long as a stream may pause before it is resumed at another endpoint.
	silence = 60 * time.Millisecond
)

// fakeSender is a sender whose endpoints behave as next says. It counts what they did.
type fakeSender struct {
	mu   sync.Mutex
	next func(a *relay.Attempt) behaviour
	// runs counts the sends that ran the request, sends all that reached an endpoint; prefilled, fetched and freed count KV
	// caches.
	runs, sends, prefilled, freed, fetched int
	attempts                               []relay.Attempt
	// onSilence is called when an endpoint falls silent, and just before it breaks an answer off.
	onSilence func()
	// prefillTime is how long a separate prefill takes.
	prefillTime time.Duration
}

func (f *fakeSender) Send(ctx context.Context, e *roster.Endpoint, a *relay.Attempt) (*relay.Answer, error) {
	b := f.receive(a)
	switch b {
	case unreachable:
		return nil, &relay.NeverSentError{Err: errors.New("refused")}
	case rejects:
		return &relay.Answer{Status: 503, NotRun: true, Body: &body{}}, nil
	case misdirects:
		return &relay.Answer{Status: 421, Misdirected: true, Body: &body{}}, nil
	}
	if a.PrefillOnly {
		if b != succeeds {
			return nil, errors.New("reset")
		}
		time.Sleep(f.prefillTime)
		return &relay.Answer{Status: 200, Body: &body{text: "handle"}}, nil
	}
	switch b {
	case panics:
		panic("malformed answer")
	case hangs:
		<-ctx.Done()
		return nil, net.ErrClosed
	case answersLate:
		f.onSilence()
		select {
		case <-ctx.Done():
			return nil, net.ErrClosed
		case <-time.After(silence):
		}
	case losesAnswer:
		return nil, errors.New("reset")
	case crashes:
		return nil, io.ErrUnexpectedEOF
	case fails:
		return &relay.Answer{Status: 500, Body: &body{text: "failed"}}, nil
	case answers503:
		return &relay.Answer{Status: 503, Body: &body{text: "busy"}}, nil
	}
	first := 1
	if b == sendsNoEvents {
		first = streamEvents + 1
	}
	if a.LastEvent != "" {
		last, err := strconv.Atoi(a.LastEvent)
		if err != nil {
			return nil, err
		}
		first = last + 1
	}
	return &relay.Answer{Status: 200, EventStream: true, Header: relay.Header{"From": {string(e.Entry().ID)}}, Body: &body{text: "whole", next: first, breaksOff: b == breaksOff || b == breaksOffLate, stalls: b == stalls, comments: b == sendsComments, slow: b == sendsSlowly, silent: b == fallsSilent || b == beginsWithComment || b == sendsUnnumbered, unnumbered: b == sendsUnnumbered, stopsWhenCancelled: b == stopsWhenCancelled, commentFirst: b == beginsWithComment, silentAtOnce: b == beginsWithComment, onSilence: f.onSilence, ctx: ctx}}, nil
}

// receive draws and counts what the endpoint does with an attempt. What takes time follows without the lock: a request may be sent to two
// endpoints at a time.
func (f *fakeSender) receive(a *relay.Attempt) behaviour {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.next(a)
	if b == unreachable {
		return b
	}
	f.sends++
	f.attempts = append(f.attempts, *a)
	switch {
	case b == rejects || b == misdirects:
	case a.PrefillOnly:
		if b == succeeds {
			f.prefilled++
		}
	default:
		f.runs++
		if a.Source != nil {
			f.fetched++
		}
	}
	return b
}

func (f *fakeSender) Prefilled(a *relay.Answer) (string, error) {
	text, err := a.Body.All()
	return string(text), err
}

func (f *fakeSender) Free(*relay.Source, func(*relay.Answer)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.freed++
}

// body is the body of a fake answer: a text, or a stream of the events 1 to streamEvents of which next is sent next.
type body struct {
	text      string
	next      int
	breaksOff bool
	stalls    bool
	comments  bool
	slow      bool
	// silent is set until the endpoint has been silent for a while.
	silent bool
	// commentFirst is set until a comment was sent in place of the first events.
	commentFirst       bool
	stopsWhenCancelled bool
	// unnumbered is set if the events have no ids.
	unnumbered bool
	// silentAtOnce is set if the endpoint is silent before the first event.
	silentAtOnce bool
	onSilence    func()
	ctx          context.Context
}

func (b *body) Next() (relay.Event, error) {
	if b.stopsWhenCancelled && b.ctx.Err() != nil {
		return relay.Event{}, net.ErrClosed
	}
	if b.breaksOff && b.next > streamEvents/2 {
		if b.onSilence != nil {
			b.onSilence()
		}
		return relay.Event{}, io.ErrUnexpectedEOF
	}
	if b.stalls && b.next > streamEvents/2 {
		<-b.ctx.Done()
		return relay.Event{}, net.ErrClosed
	}
	if b.comments && b.next > streamEvents/2 {
		select {
		case <-b.ctx.Done():
			return relay.Event{}, net.ErrClosed
		case <-time.After(commentInterval):
			return relay.Event{Bytes: []byte(comment)}, nil
		}
	}
	if b.commentFirst {
		b.commentFirst = false
		return relay.Event{Bytes: []byte(comment)}, nil
	}
	if b.silent && (b.next > streamEvents/2 || b.silentAtOnce) {
		b.silent = false
		b.onSilence()
		select {
		case <-b.ctx.Done():
			return relay.Event{}, net.ErrClosed
		case <-time.After(silence):
		}
	}
	if b.next > streamEvents {
		return relay.Event{}, io.EOF
	}
	if b.slow {
		select {
		case <-b.ctx.Done():
			return relay.Event{}, net.ErrClosed
		case <-time.After(slowInterval):
		}
	}
	id := strconv.Itoa(b.next)
	b.next++
	if b.unnumbered {
		return relay.Event{Bytes: []byte("data: " + id + "\n\n"), HasData: true}, nil
	}
	return relay.Event{Bytes: []byte("id: " + id + "\n\n"), ID: id, HasData: true}, nil
}

func (b *body) All() ([]byte, error) {
	if b.breaksOff {
		return nil, io.ErrUnexpectedEOF
	}
	if b.stalls || b.comments {
		<-b.ctx.Done()
		return nil, net.ErrClosed
	}
	return []byte(b.text), nil
}

func (b *body) Close() {}

package relay_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
)

// Times of a silent fleet. All are multiples of tick, so that much falls on the same instant.
const (
	tick        = 5 * time.Millisecond
	connectTime = tick
	// prefillTokensPerTick is how many tokens a prefill engine prefills in a tick; a decode engine takes twice as long.
	prefillTokensPerTick = 250
)

// span is a time from the start of a fleet, or of a send.
type span struct {
	from, to time.Duration
}

// contains reports whether t lies in the span, without its end.
func (s span) contains(t time.Duration) bool {
	return s.from <= t && t < s.to
}

// placedEndpoint is an endpoint of a silent fleet. It runs as many requests at a time as it has slots, lets a few more wait, and rejects the
// rest. What it should send during a silence comes at the end of the silence.
type placedEndpoint struct {
	entry roster.Entry
	// queue is how many requests may wait for a slot.
	queue    int
	silences []span
	// rejecting are the times in which it rejects all requests and asks for a pause of retryAfter.
	rejecting  []span
	retryAfter time.Duration
	// leavesAt is when its answers begin to say that it leaves; 0 for never.
	leavesAt time.Duration
	// breaks are the moments at which all its connections break off.
	breaks []time.Duration
	// noticesLate is set if it notices a closed connection only once its silence is over.
	noticesLate bool
	// headFirst is set if it sends the head of a stream before it prefills.
	headFirst bool

	running int
	waiting []*fleetSend
}

// plannedRequest is what a request asks for, and the silences of its first prefill and its first run, from the start of each.
type plannedRequest struct {
	ID             wire.RequestId
	path           string
	at             time.Duration
	tokens, events int
	step           time.Duration
	// commentEvery is how often comments are sent while no event is due; 0 for never.
	commentEvery             time.Duration
	prefillSilent, runSilent []span
	// laterRuns are what goes wrong with the runs after the first one; nil for nothing.
	laterRuns []*laterRun
	// slow is how long its caller takes for each event.
	slow time.Duration
	// leavesAfter is how long its caller stays; 0 for as long as it takes.
	leavesAfter time.Duration
}

// silentFleet is a sender to endpoints that fall silent. It records all sends.
type silentFleet struct {
	began     time.Time
	endpoints map[wire.EndpointId]*placedEndpoint
	requests  map[wire.RequestId]*plannedRequest

	// ending are the sends whose end is not noticed yet.
	ending sync.WaitGroup

	mu    sync.Mutex
	sends []*fleetSend
	// settled are the handles of the KV caches that were fetched or freed, or which their endpoint does not let go of.
	settled map[string]bool
}

// fleetSend is one send. Times are from the start of the fleet; those that have not come are negative.
type fleetSend struct {
	request   *plannedRequest
	endpoint  *placedEndpoint
	prefill   bool
	lastEvent string
	source    string
	// begun is when it was sent, reached when it arrived, head when its answer or the head of that was passed on, ended when its context ended.
	begun, reached, head, ended time.Duration
	// data are the times of its events, or that of its whole answer.
	data []time.Duration
	// accepted is set once it has a place, rejected if it has none, broken if it broke off, whole once all was sent.
	accepted, rejected, broken, whole bool
	// brokenAt is when it broke off, wholeAt when a stream has ended.
	brokenAt, wholeAt time.Duration
	// handle is that of the KV cache once the relay knows it.
	handle string
	// opened and closed count answers and closed bodies.
	opened, closed int

	silences []span
	later    *laterRun
	holds    bool
	left     bool
	granted  chan struct{}
}

const never = -time.Second

func (f *silentFleet) now() time.Duration {
	return time.Since(f.began)
}

func (f *silentFleet) begin(ctx context.Context, e *roster.Endpoint, a *relay.Attempt) *fleetSend {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &fleetSend{request: f.requests[a.Request.ID], endpoint: f.endpoints[e.Entry().ID], prefill: a.PrefillOnly, lastEvent: a.LastEvent,
		begun: f.now(), reached: never, head: never, ended: never, granted: make(chan struct{})}
	if a.Source != nil {
		s.source = a.Source.Handle
	}
	own := s.request.runSilent
	if s.prefill {
		own = s.request.prefillSilent
	}
	if !slices.ContainsFunc(f.sends, func(o *fleetSend) bool { return o.request == s.request && o.prefill == s.prefill }) {
		for _, o := range own {
			s.silences = append(s.silences, span{s.begun + o.from, s.begun + o.to})
		}
	}
	f.planLater(s)
	f.sends = append(f.sends, s)
	f.ending.Add(1)
	context.AfterFunc(ctx, func() {
		defer f.ending.Done()
		f.end(s)
	})
	return s
}

// end records that the connection was closed, and frees the place once the endpoint notices.
func (f *silentFleet) end(s *fleetSend) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.ended = f.now()
	if s.endpoint.noticesLate {
		noticed := s.release(s.ended)
		f.mu.Unlock()
		<-time.After(noticed - f.now())
		f.mu.Lock()
	}
	f.leave(s)
}

// await waits until the endpoint sends what is due at a time, its connection breaks off, or the context ends.
func (f *silentFleet) await(ctx context.Context, s *fleetSend, due time.Duration) error {
	if ctx.Err() != nil {
		return net.ErrClosed
	}
	at := s.release(max(due, f.now()))
	broken := false
	for _, b := range s.endpoint.breaks {
		if b > s.begun && b <= at {
			at, broken = b, true
		}
	}
	if d := at - f.now(); d > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.now() < at:
		return net.ErrClosed
	case broken:
		s.broken, s.brokenAt = true, f.now()
		return io.ErrUnexpectedEOF
	}
	return nil
}

// Send sends an attempt as relay.Sender describes.
func (f *silentFleet) Send(ctx context.Context, e *roster.Endpoint, a *relay.Attempt) (*relay.Answer, error) {
	s := f.begin(ctx, e, a)
	// A silent endpoint still accepts connections.
	select {
	case <-ctx.Done():
		return nil, &relay.NeverSentError{Err: net.ErrClosed}
	case <-time.After(connectTime):
	}
	if err := a.Permit(e, time.Now()); err != nil {
		f.withdraw(s, err)
		return nil, err
	}
	if !f.enter(s) {
		if err := f.await(ctx, s, s.reached); err != nil {
			f.settle(s)
			return nil, err
		}
		return f.answer(s, &relay.Answer{Status: 503, NotRun: true, RetryAfter: s.endpoint.retryAfterAt(f.now())}, &fleetBody{}), nil
	}
	f.settle(s)
	if err := f.awaitPlace(ctx, s); err != nil {
		return nil, err
	}
	return f.run(ctx, s)
}

// withdraw records that a send was withdrawn. A KV cache that may not be fetched may not be freed either.
func (f *silentFleet) withdraw(s *fleetSend, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var withdrawn *relay.WithdrawnError
	if errors.As(err, &withdrawn) && withdrawn.Source {
		f.settled[s.source] = true
	}
}

// settle records that a KV cache was fetched for a send, or may have been as far as the relay can know.
func (f *silentFleet) settle(s *fleetSend) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.source != "" {
		f.settled[s.source] = true
	}
}

func (e *placedEndpoint) retryAfterAt(now time.Duration) time.Duration {
	if slices.ContainsFunc(e.rejecting, func(r span) bool { return r.contains(now) }) {
		return e.retryAfter
	}
	return 0
}

// String describes the send for a message.
func (s *fleetSend) String() string {
	return fmt.Sprintf("%s to %s: prefill %v, after event %q, begun %v, reached %v, accepted %v, rejected %v, head %v, events %v, whole %v, broken %v, ended %v",
		s.request.ID, s.endpoint.entry.ID, s.prefill, s.lastEvent, s.begun, s.reached, s.accepted, s.rejected, s.head, s.data, s.whole, s.broken, s.ended)
}

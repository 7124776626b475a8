package relay

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"
)

// maxOverlap bounds for how long a silent endpoint is kept once another one has sent the head of the stream. The platform allows 400 ms from when
// a stream goes on elsewhere until the endpoint before has stopped, which has to learn it first.
const maxOverlap = 250 * time.Millisecond

// lookahead is what was read of a stream before its endpoint was followed: what precedes the first event with data, and that event or the error in
// its place. It belongs to the goroutine that reads until done is closed, and then to the one that serves the request.
type lookahead struct {
	events []Event
	err    error
	done   chan struct{}
	// reading is set before done is closed; closing is set if the body has to be closed then. Both are guarded by job.mu.
	reading, closing bool
}

// lookAhead waits for the first event of a stream of which the endpoint has sent the head. The first endpoint of the handover is kept until then,
// but no longer than maxOverlap. If the stream breaks off or begins wrong, another endpoint is asked.
func (j *job) lookAhead(ctx context.Context, h *handover, n *send) {
	h.begun = append(h.begun, n)
	timer := j.relay.clock.AfterFunc(maxOverlap, func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.takeOver(h, n)
	})
	defer timer.Stop()
	j.readAhead(n)
	switch {
	case h.accepted == n:
		return
	case h.over:
		n.close()
		return
	}
	if err := j.checkAhead(n); err != nil {
		h.forget(n)
		j.meterOnce()
		j.recordFailure(ctx, n.exchange, err)
		n.close()
		j.askNext(ctx, h)
		return
	}
	j.takeOver(h, n)
}

// readAhead reads the stream up to its first event with data, without the lock.
func (j *job) readAhead(n *send) {
	a := &lookahead{done: make(chan struct{}), reading: true, err: errLookahead}
	n.ahead = a
	j.mu.Unlock()
	defer func() {
		j.mu.Lock()
		a.reading = false
		close(a.done)
		if a.closing {
			n.answer.Body.Close()
		}
	}()
	for {
		event, err := n.answer.Body.Next()
		a.err = err
		if err != nil {
			return
		}
		a.events = append(a.events, event)
		if event.HasData {
			return
		}
	}
}

// errLookahead is the error of a stream whose first event could not be read because of a panic.
var errLookahead = errors.New("the stream could not be read")

// checkAhead returns an error unless the stream begins as it should.
func (j *job) checkAhead(n *send) error {
	a := n.ahead
	if a.err != nil {
		if errors.Is(a.err, io.EOF) {
			return nil
		}
		return n.watchdog.explain(a.err)
	}
	return j.newEventReader(n).check(&a.events[len(a.events)-1])
}

// takeOver makes n the send that is followed, unless the handover is over or n has failed.
func (j *job) takeOver(h *handover, n *send) {
	if h.over {
		return
	}
	begun := slices.Contains(h.begun, n)
	if n.ahead != nil && !begun {
		return
	}
	h.forget(n)
	h.accepted = n
	j.endHandover(h)
	h.first.watchdog.cancel(errNoData)
}

// nextEvent returns the next event of the stream, without the lock.
func (s *send) nextEvent() (Event, error) {
	a := s.ahead
	if a == nil {
		return s.answer.Body.Next()
	}
	<-a.done
	switch {
	case len(a.events) > 0:
		e := a.events[0]
		a.events = a.events[1:]
		return e, nil
	case a.err != nil:
		return Event{}, a.err
	}
	return s.answer.Body.Next()
}

// closeBody closes the body of the answer, once nothing is read from it.
func (s *send) closeBody() {
	switch {
	case s.answer == nil:
	case s.ahead != nil && s.ahead.reading:
		s.ahead.closing = true
	default:
		s.answer.Body.Close()
	}
}

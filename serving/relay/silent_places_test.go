package relay_test

import (
	"context"
	"io"
	"net"
	"slices"
	"time"
)

// enter takes a place at the endpoint or in its queue, and reports whether there was one.
func (f *silentFleet) enter(s *fleetSend) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.reached = f.now()
	e := s.endpoint
	rejecting := s.rejects()
	switch {
	case s.left:
		close(s.granted)
	case !rejecting && e.running < e.entry.Slots:
		e.running++
		s.holds = true
		close(s.granted)
	case !rejecting && len(e.waiting) < e.queue:
		e.waiting = append(e.waiting, s)
	default:
		s.rejected = true
		return false
	}
	s.accepted = true
	return true
}

func (f *silentFleet) leave(s *fleetSend) {
	s.left = true
	e := s.endpoint
	e.waiting = slices.DeleteFunc(e.waiting, func(o *fleetSend) bool { return o == s })
	if !s.holds {
		return
	}
	s.holds = false
	e.running--
	if len(e.waiting) > 0 && e.running < e.entry.Slots {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running++
		next.holds = true
		close(next.granted)
	}
}

// release returns when the endpoint sends what it would send at t.
func (s *fleetSend) release(t time.Duration) time.Duration {
	for again := true; again; {
		again = false
		for _, silence := range slices.Concat(s.endpoint.silences, s.silences) {
			if silence.contains(t) {
				t, again = silence.to, true
			}
		}
	}
	return t
}

// awaitPlace waits for a slot.
func (f *silentFleet) awaitPlace(ctx context.Context, s *fleetSend) error {
	for {
		var broken <-chan time.Time
		for _, b := range s.endpoint.breaks {
			if b > f.now() {
				broken = time.After(b - f.now())
				break
			}
		}
		select {
		case <-s.granted:
			if ctx.Err() != nil {
				return net.ErrClosed
			}
			return nil
		case <-ctx.Done():
			return net.ErrClosed
		case <-broken:
			f.mu.Lock()
			defer f.mu.Unlock()
			s.broken, s.brokenAt = true, f.now()
			return io.ErrUnexpectedEOF
		}
	}
}

package relay_test

import (
	"fmt"
	"slices"
	"time"
)

// checkKept checks that an endpoint that goes on before another one has accepted keeps the request, and that the send that is not needed any
// more ends at once. The head of a stream is a going on only while no other endpoint has sent one. The head of a whole answer is no going on, as it is none for the other endpoint: the body may break off.
func (w *world) checkKept(_ *plannedRequest, _ *worldCaller, sends []*fleetSend) string {
	for i, s := range sends {
		for _, n := range sends[i+1:] {
			if t := n.taken(); t >= 0 && s.ended > t && n.ended > t {
				return fmt.Sprintf("KEPT: %s has taken the request over at %v, the send to %s ends at %v", n.endpoint.entry.ID, t, s.endpoint.entry.ID, s.ended)
			}
		}
		if s.rejected || s.head < 0 || s.broken {
			continue
		}
		goesOn := s.began()
		if slices.ContainsFunc(sends[:i], func(o *fleetSend) bool { return o.ended >= s.head }) {
			// It is not followed yet.
			goesOn = s.taken()
		}
		for k, t := range append([]time.Duration{goesOn}, s.data...) {
			for _, n := range sends[i+1:] {
				if k == 0 && s.request.isStream() && n.sentHead(t) {
					// Both have sent a head. The one that sends an event first goes on.
					continue
				}
				if n.begun < t && (n.taken() < 0 || n.taken() > t) && (n.ended < 0 || n.ended > t) {
					return fmt.Sprintf("KEPT: %s goes on at %v, the send to %s ends at %v", s.endpoint.entry.ID, t, n.endpoint.entry.ID, n.ended)
				}
			}
		}
	}
	return ""
}

// sentHead reports whether an endpoint has sent the head of a stream by t.
func (s *fleetSend) sentHead(t time.Duration) bool {
	return !s.prefill && !s.rejected && s.head >= 0 && s.head <= t
}

// began returns when an endpoint has begun to answer: by the head of a stream, or by a whole answer; it is negative if it has not.
func (s *fleetSend) began() time.Duration {
	switch {
	case s.rejected || s.head < 0:
		return never
	case s.request.isStream() && !s.prefill:
		return s.head
	case len(s.data) == 0:
		return never
	}
	return s.data[0]
}

// taken returns when an endpoint has taken a request over: by the first event of a stream or its end, or headOverlap after its head, and by a
// whole answer; it is negative if it has not.
func (s *fleetSend) taken() time.Duration {
	began := s.began()
	if began < 0 || !s.request.isStream() || s.prefill {
		return began
	}
	last := began + headOverlap
	switch {
	case len(s.data) > 0:
		return min(s.data[0], last)
	case s.whole:
		return min(s.wholeAt, last)
	case s.broken && s.brokenAt <= last, s.ended >= 0 && s.ended < last:
		return never
	}
	return last
}

package proof

import (
	"slices"
	"testing"
	"time"

	"cowslipshunt.example/wire"
)

// newWorkWithin is how long a leaving endpoint may still get new work.
const newWorkWithin = 5 * time.Second

// requests counts what an engine has received.
func (b *backend) requests() int {
	return len(get[wire.EngineReceivedList](b.address, "/received").Requests)
}

// serving returns the engines that the platform lists and that got a request since a count.
func (s *system) serving() []*backend {
	var listed []*backend
	for _, r := range get[wire.EndpointList](s.platform, "/endpoints").Endpoints {
		i := slices.IndexFunc(s.engines, func(b *backend) bool { return b.id == string(r.Endpoint) })
		if i >= 0 && !r.Leaving {
			listed = append(listed, s.engines[i])
		}
	}
	return listed
}

// lastNewWork watches an engine and returns when it last got a request, after a quiet time.
func lastNewWork(t *testing.T, b *backend, quiet time.Duration) time.Time {
	t.Helper()
	seen, last := b.requests(), time.Now()
	eventually(t, b.id+" gets no new work", func() bool {
		if n := b.requests(); n != seen {
			seen, last = n, time.Now()
		}
		return time.Since(last) > quiet
	})
	return last
}

// startWithSpare starts a system under load with one engine more than the document orders, and returns one that has work.
func startWithSpare(t *testing.T) (*system, *load, *backend) {
	t.Helper()
	p := whole()
	p.engines, p.spare = 3, 1
	s := newSystem(t, p)
	s.serveFully()
	l := startLoad(s, 6)
	busy := s.serving()[0]
	eventually(t, "it has work", func() bool { return busy.requests() > 0 })
	return s, l, busy
}

// waitForSpare waits until two engines are listed and both have had work.
func waitForSpare(t *testing.T, s *system) {
	t.Helper()
	eventually(t, "another engine took its place", func() bool {
		now := s.serving()
		return len(now) == 2 && now[0].requests() > 0 && now[1].requests() > 0
	})
}

// TestLeavingEndpointIsReplaced lets the platform announce that an engine leaves, under load, and then takes it away.
func TestLeavingEndpointIsReplaced(t *testing.T) {
	s, l, leaving := startWithSpare(t)
	announced := time.Now()
	s.post(s.platform, "/endpoints/leaving", wire.EndpointRef{Endpoint: wire.EndpointId(leaving.id)})
	last := lastNewWork(t, leaving, newWorkWithin)
	t.Logf("last new work %v after the notice", last.Sub(announced).Round(time.Millisecond))
	if last.Sub(announced) > newWorkWithin {
		t.Errorf("it got work for %v", last.Sub(announced))
	}
	leaving.process.kill()
	waitForSpare(t, s)
	l.finish(t, 20)
	s.checkOrders(t)
}

// TestVanishedEndpointIsLeftAlone kills an engine that nobody announced: the answers stay whole, and the others take the
// work.
func TestVanishedEndpointIsLeftAlone(t *testing.T) {
	s, l, gone := startWithSpare(t)
	gone.process.kill()
	s.post(s.platform, "/endpoints/vanish", wire.EndpointRef{Endpoint: wire.EndpointId(gone.id)})
	waitForSpare(t, s)
	l.finish(t, 20)
}

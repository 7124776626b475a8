package proof

import (
	"slices"
	"testing"
	"time"

	"cowslipshunt.example/wire"
)

// maxNewWorkDelay bounds how long after the announcement a leaving endpoint may still get requests.
const maxNewWorkDelay = 5 * time.Second

// receivedRequests counts the requests that an engine has begun to run.
func (e *endpoint) receivedRequests() int {
	return len(get[wire.EngineReceivedList](e.address, "/received").Requests)
}

// listedEngines returns the engines that the platform lists and that are not leaving.
func (s *system) listedEngines() []*endpoint {
	var listed []*endpoint
	for _, r := range get[wire.EndpointList](s.platformAddress, "/endpoints").Endpoints {
		i := slices.IndexFunc(s.engines, func(e *endpoint) bool { return e.id == string(r.Endpoint) })
		if i >= 0 && !r.Leaving {
			listed = append(listed, s.engines[i])
		}
	}
	return listed
}

// lastNewWork returns when an engine last got a request, once it has got none for the duration quiet.
func lastNewWork(t *testing.T, e *endpoint, quiet time.Duration) time.Time {
	t.Helper()
	count, last := e.receivedRequests(), time.Now()
	eventually(t, e.id+" gets no new work", func() bool {
		if n := e.receivedRequests(); n != count {
			count, last = n, time.Now()
		}
		return time.Since(last) > quiet
	})
	return last
}

// startWithSpareEngine starts a system under load with one engine more than the document orders, and returns an engine that
// has received requests.
func startWithSpareEngine(t *testing.T) (*system, *load, *endpoint) {
	t.Helper()
	p := fullPlan()
	p.engines, p.spareEngines = 3, 1
	s := newSystem(t, p)
	s.waitEndpointsReady()
	l := startLoad(s, 6)
	busy := s.listedEngines()[0]
	eventually(t, "the engine got a request", func() bool { return busy.receivedRequests() > 0 })
	return s, l, busy
}

// waitForSpareEngine waits until two engines are listed and both have received requests.
func waitForSpareEngine(t *testing.T, s *system) {
	t.Helper()
	eventually(t, "another engine replaced the one that is gone", func() bool {
		now := s.listedEngines()
		return len(now) == 2 && now[0].receivedRequests() > 0 && now[1].receivedRequests() > 0
	})
}

// TestLeavingEndpointIsReplaced has the platform announce under load that an engine leaves, and then kills the engine.
func TestLeavingEndpointIsReplaced(t *testing.T) {
	s, l, leaving := startWithSpareEngine(t)
	announced := time.Now()
	s.post(s.platformAddress, "/endpoints/leaving", wire.EndpointRef{Endpoint: wire.EndpointId(leaving.id)})
	last := lastNewWork(t, leaving, maxNewWorkDelay)
	t.Logf("the last new request came %v after the announcement", last.Sub(announced).Round(time.Millisecond))
	if last.Sub(announced) > maxNewWorkDelay {
		t.Errorf("the leaving engine got requests for %v", last.Sub(announced))
	}
	leaving.process.kill()
	waitForSpareEngine(t, s)
	l.finish(t, 20)
	s.checkOrders(t)
}

// TestVanishedEndpointIsAvoided kills an engine without an announcement. The answers stay complete, and the other engines
// get its requests.
func TestVanishedEndpointIsAvoided(t *testing.T) {
	s, l, gone := startWithSpareEngine(t)
	gone.process.kill()
	s.post(s.platformAddress, "/endpoints/vanish", wire.EndpointRef{Endpoint: wire.EndpointId(gone.id)})
	waitForSpareEngine(t, s)
	l.finish(t, 20)
}

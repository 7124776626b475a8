package proof

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cowslipshunt.example/wire"
)

// newForwardingSystem starts two domains of which only the first lists endpoints, so that the second forwards all requests.
func newForwardingSystem(t *testing.T) *system {
	p := smallPlan()
	p.domains = []string{"a", "b"}
	p.entrySettings = "StallMillis = 1500\nQueueMillis = 1000\nLeaveMillis = 50\n"
	s := newSystem(t, p)
	startLeaseHolder(t, s, "a")
	for _, m := range s.in("a") {
		eventually(t, m.name+" lists endpoints", func() bool { return len(s.status(m).Endpoints) > 0 })
	}
	s.waitLinked(t)
	return s
}

// TestCutForwardedAnswerIsNeverComplete sends streams through a domain without endpoints. It kills one engine in the middle
// of them, then all engines, and then the entries of the domain that has the endpoints. After the first fault the answers
// must be complete; after the other two no truncated answer may look like a complete one.
func TestCutForwardedAnswerIsNeverComplete(t *testing.T) {
	t.Parallel()
	s := newForwardingSystem(t)
	want := expectedAnswer(t, s.engines[0], "a long itinerary", 60)
	var work sync.WaitGroup
	var once sync.Once
	for i := range 8 {
		work.Go(func() {
			res := newCaller(testKey).stream(s.in("b")[i%2].address, "a long itinerary", 60, func(n int) {
				if n == 10 {
					once.Do(s.endpointIn(s.engines, "a").process.kill)
				}
			})
			if !res.complete || res.body != want {
				t.Errorf("with an engine killed: complete %v, status %d, %d tokens, err %v", res.complete, res.status, len(res.tokens), res.err)
			}
		})
	}
	work.Wait()
	for _, kill := range []func(){s.killEngines, s.killEntries} {
		eventually(t, "the other domain serves", func() bool {
			return newCaller(testKey).chat(s.in("b")[0].address, "a venue", 3).status == http.StatusOK
		})
		res := newCaller(testKey).stream(s.in("b")[0].address, "a doomed itinerary", 400, func(n int) {
			if n == 10 {
				kill()
			}
		})
		if res.complete || res.err == nil || len(res.tokens) < 10 {
			t.Errorf("a truncated answer: status %d, complete %v, err %v, %d tokens", res.status, res.complete, res.err, len(res.tokens))
		}
		for _, e := range s.engines {
			e.process.kill()
			e.process.restart(t)
			s.waitReady(e.id, e.address, "/received")
		}
	}
}

func (s *system) killEngines() {
	for _, e := range s.engines {
		e.process.kill()
	}
}

func (s *system) killEntries() {
	for _, m := range s.in("a") {
		m.entry.kill()
	}
}

// TestCutForwardedBookingsRunOnce sends bookings through a domain without endpoints while the service loses answers,
// refuses requests, and cannot be reached. It compares runs and bills with the answers that the callers got.
func TestCutForwardedBookingsRunOnce(t *testing.T) {
	t.Parallel()
	s := newForwardingSystem(t)
	complete, unknown := 0, 0
	service := s.endpointIn(s.services, "a")
	faults := []func(on bool){
		func(bool) {},
		func(on bool) { s.post(service.address, "/fault", wire.ServiceFault{CloseAfterRun: on, Once: on}) },
		func(on bool) { s.post(service.address, "/fault", wire.ServiceFault{Refuse: on, Once: on}) },
		func(on bool) { s.setCrossDomainProxies(map[bool]mode{true: refuse, false: pass}[on], "b") },
		func(on bool) { service.proxy.setMode(map[bool]mode{true: loseAnswers, false: pass}[on]) },
		func(bool) {},
	}
	for i, fault := range faults {
		fault(true)
		for n := range 6 {
			booking := fmt.Sprintf("hall-%d-%d", i, n)
			key := strings.Repeat(booking, n%2)
			res := newCaller(testKey).book(s.in("b")[n/2%2].address, booking, key)
			runs := s.bookingRuns()[booking]
			switch {
			case res.status == http.StatusOK && res.complete:
				complete++
			case res.outcome == "Unknown":
				unknown++
			case res.outcome != "NotRun":
				t.Errorf("%s was answered %d %q: %s %v", booking, res.status, res.outcome, res.body, res.err)
			}
			if res.outcome == "NotRun" && runs > 0 || res.status == http.StatusOK && runs != 1 || runs > 1 {
				t.Errorf("%s ran %d times and was answered %d %q", booking, runs, res.status, res.outcome)
			}
		}
		fault(false)
	}
	s.stopEntries(t)
	billed := s.billedUsage()[testWorkspace].requests
	if billed < complete || billed > complete+unknown || complete < 12 {
		t.Errorf("%d bookings were answered, %d had an unknown outcome, %d were billed", complete, unknown, billed)
	}
	t.Logf("%d bookings were answered, %d had an unknown outcome, %d were billed", complete, unknown, billed)
}

// notReadyWatch is how long the test checks that an entry without any source for a document stays not ready.
const notReadyWatch = 3 * time.Second

// TestIsolatedEntryStartsFromPeers starts an entry while its domain cannot reach the platform. With a peer the entry becomes
// ready and serves; without one it does not.
func TestIsolatedEntryStartsFromPeers(t *testing.T) {
	t.Parallel()
	s := newSystem(t, smallPlan())
	h := startLeaseHolder(t, s, "a")
	s.waitEndpointsReady()
	starter, peer := s.instances[0], s.instances[1]
	s.setPlatformProxies(blackHole, "a")
	_ = h.hub.Close()
	starter.entry.kill()
	starter.entry.restart(t)
	began := time.Now()
	s.waitReady(starter.name, starter.operationsAddress, "/readyz")
	eventually(t, "the entry serves with the endpoint list of its peer", func() bool {
		return newCaller(testKey).chat(starter.address, "a venue", 3).status == http.StatusOK
	})
	t.Logf("with a peer and no platform: served %v after its start", time.Since(began).Round(time.Millisecond))
	if took := time.Since(began); took > maxHealTime {
		t.Errorf("with a peer and no platform it took %v", took)
	}
	starter.entry.kill()
	peer.peerProxy.setMode(refuse)
	starter.peerProxy.setMode(refuse)
	starter.entry.restart(t)
	s.waitReady(starter.name, starter.operationsAddress, "/healthz")
	watchEnd := time.After(notReadyWatch)
	for watching := true; watching; {
		select {
		case <-watchEnd:
			watching = false
		case <-time.After(pollInterval):
			s.requireNotReady(t, starter)
		}
	}
	peer.peerProxy.setMode(pass)
	s.waitReady(starter.name, starter.operationsAddress, "/readyz")
}

func (s *system) requireNotReady(t *testing.T, m *instance) {
	t.Helper()
	answer, err := http.Get("http://" + m.operationsAddress + "/readyz")
	if err != nil {
		t.Fatal(err)
	}
	answer.Body.Close()
	if answer.StatusCode == http.StatusOK {
		t.Fatalf("%s is ready without a document", m.name)
	}
	if res := newCaller(testKey).chat(m.address, "a venue", 3); res.status != http.StatusServiceUnavailable || res.outcome != "NotRun" {
		t.Fatalf("%s answered %d %q without a document", m.name, res.status, res.outcome)
	}
}

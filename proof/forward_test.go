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

// forwarding is two domains of which only the first has endpoints in its lists.
func forwarding(t *testing.T) *system {
	p := small()
	p.domains = []string{"a", "b"}
	p.entrySettings = "StallMillis = 1500\nQueueMillis = 1000\nLeaveMillis = 50\n"
	s := newSystem(t, p)
	startHolder(t, s, "a")
	for _, m := range s.in("a") {
		eventually(t, m.name+" lists endpoints", func() bool { return len(s.status(m).Endpoints) > 0 })
	}
	s.linked(t)
	return s
}

// TestCutForwardedAnswerIsNeverWhole sends streams through a domain without endpoints and kills an engine, and then all of
// them, in the midst.
func TestCutForwardedAnswerIsNeverWhole(t *testing.T) {
	t.Parallel()
	s := forwarding(t)
	want := expected(t, s.engines[0], "a long itinerary", 60)
	var work sync.WaitGroup
	var once sync.Once
	for i := range 8 {
		work.Go(func() {
			res := newCaller(testKey).stream(s.in("b")[i%2].address, "a long itinerary", 60, func(n int) {
				if n == 10 {
					once.Do(s.backendIn(s.engines, "a").process.kill)
				}
			})
			if !res.whole || res.body != want {
				t.Errorf("with an engine killed: whole %v, status %d, %d tokens, err %v", res.whole, res.status, len(res.tokens), res.err)
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
		if res.whole || res.err == nil || len(res.tokens) < 10 {
			t.Errorf("a cut answer: status %d, whole %v, err %v, %d tokens", res.status, res.whole, res.err, len(res.tokens))
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
// refuses, and is cut off, and holds runs and bills against what the callers got.
func TestCutForwardedBookingsRunOnce(t *testing.T) {
	t.Parallel()
	s := forwarding(t)
	whole, unsure := 0, 0
	service := s.backendIn(s.services, "a")
	faults := []func(on bool){
		func(bool) {},
		func(on bool) { s.post(service.address, "/fault", wire.ServiceFault{CloseAfterRun: on, Once: on}) },
		func(on bool) { s.post(service.address, "/fault", wire.ServiceFault{Refuse: on, Once: on}) },
		func(on bool) { s.cutDomains(map[bool]mode{true: refuse, false: pass}[on], "b") },
		func(on bool) { service.proxy.set(map[bool]mode{true: loseAnswers, false: pass}[on]) },
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
			case res.status == http.StatusOK && res.whole:
				whole++
			case res.outcome == "Unknown":
				unsure++
			case res.outcome != "NotRun":
				t.Errorf("%s was answered %d %q: %s %v", booking, res.status, res.outcome, res.body, res.err)
			}
			if res.outcome == "NotRun" && runs > 0 || res.status == http.StatusOK && runs != 1 || runs > 1 {
				t.Errorf("%s ran %d times and was answered %d %q", booking, runs, res.status, res.outcome)
			}
		}
		fault(false)
	}
	s.answeredByStop(t)
	billed := s.billed()[testWorkspace].requests
	if billed < whole || billed > whole+unsure || whole < 12 {
		t.Errorf("%d bookings were answered, %d unsure, and %d billed", whole, unsure, billed)
	}
	t.Logf("%d bookings were answered, %d unsure, and %d billed", whole, unsure, billed)
}

// notReadyFor is how long an entry that has nowhere to learn a document from is watched.
const notReadyFor = 3 * time.Second

// TestCutOffEntryStartsFromItsPeers starts an entry while its domain cannot reach the platform: with a peer it becomes
// ready and serves, with none it does not.
func TestCutOffEntryStartsFromItsPeers(t *testing.T) {
	t.Parallel()
	s := newSystem(t, small())
	h := startHolder(t, s, "a")
	s.serveFully()
	starter, peer := s.members[0], s.members[1]
	s.cutPlatform(blackHole, "a")
	_ = h.hub.Close()
	starter.entry.kill()
	starter.entry.restart(t)
	began := time.Now()
	s.waitReady(starter.name, starter.operations, "/readyz")
	eventually(t, "the entry serves by its peer's lists", func() bool {
		return newCaller(testKey).chat(starter.address, "a venue", 3).status == http.StatusOK
	})
	t.Logf("with a peer and no platform: served %v after its start", time.Since(began).Round(time.Millisecond))
	if took := time.Since(began); took > healWithin {
		t.Errorf("with a peer and no platform it took %v", took)
	}
	starter.entry.kill()
	peer.peerProxy.set(refuse)
	starter.peerProxy.set(refuse)
	starter.entry.restart(t)
	s.waitReady(starter.name, starter.operations, "/healthz")
	over := time.After(notReadyFor)
	for alone := true; alone; {
		select {
		case <-over:
			alone = false
		case <-time.After(pollEvery):
			s.demandNotReady(t, starter)
		}
	}
	peer.peerProxy.set(pass)
	s.waitReady(starter.name, starter.operations, "/readyz")
}

func (s *system) demandNotReady(t *testing.T, m *member) {
	t.Helper()
	answer, err := http.Get("http://" + m.operations + "/readyz")
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

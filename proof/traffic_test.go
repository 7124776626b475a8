package proof

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cowslipshunt.example/wire"
)

// requestKind is a kind of request that the traffic contains.
type requestKind string

const (
	chatRequests    requestKind = "chat"
	unkeyedBookings requestKind = "unkeyed booking"
	keyedBookings   requestKind = "keyed booking"
)

const (
	trafficTokens = 10
	trafficPause  = 20 * time.Millisecond
)

// trafficSample is one request of the traffic with its answer.
type trafficSample struct {
	result
	kind    requestKind
	booking string
	took    time.Duration
}

func (s trafficSample) served() bool {
	return s.complete && s.status == http.StatusOK
}

// phase holds the requests that were sent during one phase of a test, such as one fault.
type phase struct {
	name    string
	mu      sync.Mutex
	samples []trafficSample
}

// traffic is a set of callers in every domain, each of which uses only its own domain's entries.
type traffic struct {
	s       *system
	stop    chan struct{}
	work    sync.WaitGroup
	current atomic.Pointer[phase]
	phases  []*phase
}

func startTraffic(s *system) *traffic {
	tr := &traffic{s: s, stop: make(chan struct{})}
	tr.startPhase("before")
	for _, domain := range s.plan.domains {
		for _, k := range []requestKind{chatRequests, chatRequests, unkeyedBookings, keyedBookings} {
			tr.work.Go(func() { tr.run(k, s.in(domain)) })
		}
	}
	return tr
}

// startPhase begins a phase, to which requests sent from now on belong.
func (tr *traffic) startPhase(name string) *phase {
	p := &phase{name: name}
	tr.phases = append(tr.phases, p)
	tr.current.Store(p)
	return p
}

func (tr *traffic) finish() {
	close(tr.stop)
	tr.work.Wait()
}

func (tr *traffic) run(k requestKind, entries []*instance) {
	c := newCaller(testKey)
	for n := 0; ; n++ {
		select {
		case <-tr.stop:
			return
		case <-time.After(trafficPause):
		}
		tr.send(c, k, entries[n%len(entries)])
	}
}

var bookingCount atomic.Int64

func (tr *traffic) send(c *caller, k requestKind, m *instance) {
	p := tr.current.Load()
	sample := trafficSample{kind: k}
	began := time.Now()
	switch k {
	case chatRequests:
		sample.result = c.stream(m.address, "a venue near "+m.name, trafficTokens, nil)
	case unkeyedBookings:
		sample.booking = fmt.Sprintf("once-%d", bookingCount.Add(1))
		sample.result = c.book(m.address, sample.booking, "")
	case keyedBookings:
		sample.booking = fmt.Sprintf("keyed-%d", bookingCount.Add(1))
		sample.result = c.book(m.address, sample.booking, sample.booking)
	}
	sample.took = time.Since(began)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.samples = append(p.samples, sample)
}

// samplesOf returns a phase's samples of one kind.
func (p *phase) samplesOf(k requestKind) []trafficSample {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []trafficSample
	for _, sample := range p.samples {
		if sample.kind == k {
			list = append(list, sample)
		}
	}
	return list
}

// latency returns a quantile of the latency of served requests.
func (p *phase) latency(k requestKind, quantile float64) time.Duration {
	var all []time.Duration
	for _, sample := range p.samplesOf(k) {
		if sample.served() {
			all = append(all, sample.took)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[int(quantile*float64(len(all)-1))]
}

// logSummary logs how a phase's requests were answered, and their latency against that of an earlier phase.
func (p *phase) logSummary(t *testing.T, before *phase) {
	for _, k := range []requestKind{chatRequests, unkeyedBookings, keyedBookings} {
		list := p.samplesOf(k)
		served, refused := 0, map[string]int{}
		for _, sample := range list {
			if sample.served() {
				served++
				continue
			}
			refused[fmt.Sprintf("%d %s", sample.status, sample.outcome)]++
		}
		t.Logf("%-22s %-16s %4d of %4d served, refused %v, p50 %+.1f ms, p99 %+.1f ms against before (%.1f, %.1f)", p.name, k, served, len(list), refused,
			millisOf(p.latency(k, 0.5)-before.latency(k, 0.5)), millisOf(p.latency(k, 0.99)-before.latency(k, 0.99)),
			millisOf(before.latency(k, 0.5)), millisOf(before.latency(k, 0.99)))
	}
}

func millisOf(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// requireServed checks that there were requests of the given kinds and that all of them were served.
func (p *phase) requireServed(t *testing.T, kinds ...requestKind) {
	t.Helper()
	for _, k := range kinds {
		list := p.samplesOf(k)
		if len(list) == 0 {
			t.Errorf("%s: no %s was sent", p.name, k)
		}
		for _, sample := range list {
			if !sample.served() {
				t.Errorf("%s: a %s was answered %d %q, complete %v, after %v: %v %s", p.name, k, sample.status, sample.outcome, sample.complete, sample.took, sample.err, sample.body)
			}
		}
	}
}

// checkAgainstRuns compares every answer of all phases with what the endpoints ran.
func (tr *traffic) checkAgainstRuns(t *testing.T) {
	t.Helper()
	runs := tr.s.bookingRuns()
	ran := tr.s.requestsRun()
	refused := 0
	for _, p := range tr.phases {
		for _, sample := range p.samples {
			if sample.booking != "" && (runs[sample.booking] > 1 || sample.served() && runs[sample.booking] != 1) {
				t.Errorf("%s: %s ran %d times and was answered %d %q", p.name, sample.booking, runs[sample.booking], sample.status, sample.outcome)
			}
			if !sample.served() && sample.outcome == "" {
				t.Errorf("%s: a %s ended without an outcome: %d %v", p.name, sample.kind, sample.status, sample.err)
			}
			if sample.outcome != "NotRun" {
				continue
			}
			refused++
			if ran[sample.requestID] || runs[sample.booking] > 0 {
				t.Errorf("%s: request %s was answered NotRun but ran", p.name, sample.requestID)
			}
		}
	}
	t.Logf("%d refusals with outcome NotRun, each compared with %d requests that endpoints ran", refused, len(ran))
}

// requestsRun returns the ids of all requests that endpoints ran.
func (s *system) requestsRun() map[string]bool {
	ran := map[string]bool{}
	for _, r := range s.engineRuns() {
		ran[string(r.Request)] = true
	}
	for _, e := range s.services {
		for _, r := range get[wire.ServiceReceivedList](e.address, "/received").Requests {
			ran[r.Header["Request-Id"]] = true
		}
	}
	return ran
}

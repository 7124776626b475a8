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

// kind is a sort of request that traffic consists of.
type kind string

const (
	chats   kind = "chat"
	unkeyed kind = "unkeyed booking"
	keyed   kind = "keyed booking"
)

const (
	trafficTokens = 10
	trafficPause  = 20 * time.Millisecond
)

// sample is one request of traffic.
type sample struct {
	result
	kind    kind
	booking string
	took    time.Duration
}

func (s sample) served() bool {
	return s.whole && s.status == http.StatusOK
}

// phase is a span of traffic, by when its requests began.
type phase struct {
	name    string
	mu      sync.Mutex
	samples []sample
}

// traffic is callers in every domain that use their own domain's entries, whatever becomes of the others.
type traffic struct {
	s      *system
	end    chan struct{}
	work   sync.WaitGroup
	now    atomic.Pointer[phase]
	phases []*phase
}

func startTraffic(s *system) *traffic {
	f := &traffic{s: s, end: make(chan struct{})}
	f.enter("before")
	for _, domain := range s.plan.domains {
		for _, k := range []kind{chats, chats, unkeyed, keyed} {
			f.work.Go(func() { f.run(k, s.in(domain)) })
		}
	}
	return f
}

// enter begins a phase.
func (f *traffic) enter(name string) *phase {
	p := &phase{name: name}
	f.phases = append(f.phases, p)
	f.now.Store(p)
	return p
}

func (f *traffic) finish() {
	close(f.end)
	f.work.Wait()
}

func (f *traffic) run(k kind, entries []*member) {
	c := newCaller(testKey)
	for n := 0; ; n++ {
		select {
		case <-f.end:
			return
		case <-time.After(trafficPause):
		}
		f.send(c, k, entries[n%len(entries)])
	}
}

var bookings atomic.Int64

func (f *traffic) send(c *caller, k kind, m *member) {
	p := f.now.Load()
	x := sample{kind: k}
	began := time.Now()
	switch k {
	case chats:
		x.result = c.stream(m.address, "a venue near "+m.name, trafficTokens, nil)
	case unkeyed:
		x.booking = fmt.Sprintf("once-%d", bookings.Add(1))
		x.result = c.book(m.address, x.booking, "")
	case keyed:
		x.booking = fmt.Sprintf("keyed-%d", bookings.Add(1))
		x.result = c.book(m.address, x.booking, x.booking)
	}
	x.took = time.Since(began)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.samples = append(p.samples, x)
}

// of returns a phase's samples of a kind.
func (p *phase) of(k kind) []sample {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []sample
	for _, x := range p.samples {
		if x.kind == k {
			list = append(list, x)
		}
	}
	return list
}

// latency returns a quantile of the time that served requests took.
func (p *phase) latency(k kind, quantile float64) time.Duration {
	var all []time.Duration
	for _, x := range p.of(k) {
		if x.served() {
			all = append(all, x.took)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[int(quantile*float64(len(all)-1))]
}

// show prints what became of a phase's requests.
func (p *phase) show(t *testing.T, before *phase) {
	for _, k := range []kind{chats, unkeyed, keyed} {
		list := p.of(k)
		served, refused := 0, map[string]int{}
		for _, x := range list {
			if x.served() {
				served++
				continue
			}
			refused[fmt.Sprintf("%d %s", x.status, x.outcome)]++
		}
		t.Logf("%-22s %-16s %4d of %4d served, refused %v, p50 %+.1f ms, p99 %+.1f ms against before (%.1f, %.1f)", p.name, k, served, len(list), refused,
			millisOf(p.latency(k, 0.5)-before.latency(k, 0.5)), millisOf(p.latency(k, 0.99)-before.latency(k, 0.99)),
			millisOf(before.latency(k, 0.5)), millisOf(before.latency(k, 0.99)))
	}
}

func millisOf(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// demandServed fails unless every request of a kind was served.
func (p *phase) demandServed(t *testing.T, kinds ...kind) {
	t.Helper()
	for _, k := range kinds {
		list := p.of(k)
		if len(list) == 0 {
			t.Errorf("%s: no %s was sent", p.name, k)
		}
		for _, x := range list {
			if !x.served() {
				t.Errorf("%s: a %s was answered %d %q, whole %v, after %v: %v %s", p.name, k, x.status, x.outcome, x.whole, x.took, x.err, x.body)
			}
		}
	}
}

// judge holds every answer of all phases against what the endpoints ran.
func (f *traffic) judge(t *testing.T) {
	t.Helper()
	runs := f.s.bookingRuns()
	reached := f.s.requestsRun()
	refused := 0
	for _, p := range f.phases {
		for _, x := range p.samples {
			if x.booking != "" && (runs[x.booking] > 1 || x.served() && runs[x.booking] != 1) {
				t.Errorf("%s: %s ran %d times and was answered %d %q", p.name, x.booking, runs[x.booking], x.status, x.outcome)
			}
			if !x.served() && x.outcome == "" {
				t.Errorf("%s: a %s ended without an outcome: %d %v", p.name, x.kind, x.status, x.err)
			}
			if x.outcome != "NotRun" {
				continue
			}
			refused++
			if reached[x.request] || runs[x.booking] > 0 {
				t.Errorf("%s: request %s was said not to have run, and ran", p.name, x.request)
			}
		}
	}
	t.Logf("%d refusals said NotRun, each held against %d requests that endpoints ran", refused, len(reached))
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

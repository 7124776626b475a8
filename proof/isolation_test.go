package proof

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/wire"
)

// Limits on the effects of an isolation or outage.
const (
	// maxHealTime is the longest time after the end of an isolation or outage until everything works again.
	maxHealTime = 7 * time.Second
	// maxAddedLatency bounds what an isolation or outage adds to the p99 latency of chats: less than one timed-out call of the
	// store.
	maxAddedLatency = storeTimeout / 2
)

// Durations of the tests' phases. A fault lasts longer than every timeout in the settings below and than the 4.5 s after
// which a link without heartbeats is closed.
const (
	baselineDuration = 2 * time.Second
	faultDuration    = 5 * time.Second
	storeTimeout     = time.Second
	slowStoreDelay   = 3 * time.Second
)

func threeDomainPlan() plan {
	return plan{
		domains: []string{"a", "b", "c"}, entries: 2, engines: 2, services: 1, checksFencing: true,
		engineSettings: "OrderMillis = 100\nDecodeMicrosPerToken = 2000\n",
		dutySettings:   "LeaseTermMillis = 1500\nOrderTimeoutMillis = 500\nTickMillis = 100\n",
		entrySettings:  "StallMillis = 1000\nQueueMillis = 1000\nClaimMillis = 1000\nStoreMillis = 300\nStoreTimeoutMillis = 1000\n",
	}
}

// outageCase is one isolation of the domains or outage of the store.
type outageCase struct {
	name  string
	begin func()
	end   func()
	// tableReachable reports whether the table can be reached during the outage.
	tableReachable bool
}

// TestIsolatedDomainsKeepServing isolates every domain from the platform, from the other domains and from both, takes the
// store down, and makes it slow. Meanwhile all chats and bookings without an Idempotency-Key must be served, and a booking
// must not run twice or be answered NotRun after it ran.
func TestIsolatedDomainsKeepServing(t *testing.T) {
	t.Parallel()
	s := newSystem(t, threeDomainPlan())
	s.waitEndpointsReady()
	s.waitLinked(t)
	s.waitHealed(t)
	tr := startTraffic(s)
	before := tr.phases[0]
	<-time.After(baselineDuration)
	all := s.plan.domains
	cases := []outageCase{
		{name: "no platform", begin: func() { s.setPlatformProxies(blackHole, all...) }, end: func() { s.setPlatformProxies(pass, all...) }},
		{name: "no other domain", tableReachable: true, begin: func() { s.setCrossDomainProxies(blackHole, all...) }, end: func() { s.setCrossDomainProxies(pass, all...) }},
		{name: "no platform and no other domain", begin: func() { s.setOutsideProxies(refuse, all...) }, end: func() { s.setOutsideProxies(pass, all...) }},
		{name: "store down", begin: func() { s.setStoreFault(wire.PlatformFault{Down: true}) }, end: func() { s.setStoreFault(wire.PlatformFault{}) }},
		{name: "store slow", begin: func() { s.setStoreFault(wire.PlatformFault{DelayMillis: int(slowStoreDelay.Milliseconds())}) }, end: func() { s.setStoreFault(wire.PlatformFault{}) }},
	}
	for _, outage := range cases {
		outage.begin()
		p := tr.startPhase(outage.name)
		<-time.After(faultDuration)
		tr.startPhase("healing from " + outage.name)
		outage.end()
		s.requireHealed(t, outage.name)
		p.logSummary(t, before)
		p.requireServed(t, chatRequests, unkeyedBookings)
		if outage.tableReachable {
			p.requireServed(t, keyedBookings)
		} else {
			p.requireUnknown(t)
		}
		if added := p.latency(chatRequests, 0.99) - before.latency(chatRequests, 0.99); added > maxAddedLatency {
			t.Errorf("%s: the p99 of chats rose by %v", outage.name, added)
		}
	}
	tr.startPhase("after")
	<-time.After(baselineDuration / 2)
	tr.finish()
	tr.phases[len(tr.phases)-1].requireServed(t, chatRequests, unkeyedBookings, keyedBookings)
	tr.checkAgainstRuns(t)
}

// requireUnknown checks that some keyed bookings were refused, all of them with outcome Unknown: without the table no entry
// can look up whether an earlier attempt ran.
func (p *phase) requireUnknown(t *testing.T) {
	t.Helper()
	refused := 0
	for _, sample := range p.samplesOf(keyedBookings) {
		if sample.served() {
			continue
		}
		refused++
		if sample.outcome != "Unknown" {
			t.Errorf("%s: a keyed booking was answered %d %q", p.name, sample.status, sample.outcome)
		}
	}
	if refused == 0 {
		t.Errorf("%s: no keyed booking was refused", p.name)
	}
}

// setOutsideProxies sets the mode of all connections from some domains to the platform and to other domains.
func (s *system) setOutsideProxies(to mode, domains ...string) {
	s.setPlatformProxies(to, domains...)
	s.setCrossDomainProxies(to, domains...)
}

func (s *system) setStoreFault(f wire.PlatformFault) {
	s.post(s.platformAddress, "/fault", f)
}

// requireHealed waits until everything works again and fails if that took longer than maxHealTime.
func (s *system) requireHealed(t *testing.T, after string) {
	t.Helper()
	began := time.Now()
	s.waitHealed(t)
	took := time.Since(began)
	t.Logf("%s: everything worked again %v after its end", after, took.Round(time.Millisecond))
	if took > maxHealTime {
		t.Errorf("%s: healing took %v, more than %v", after, took, maxHealTime)
	}
}

// waitHealed waits until every entry is connected to all others, has a lease holder in its domain, lists the current
// endpoints, and answers a keyed booking.
func (s *system) waitHealed(t *testing.T) {
	t.Helper()
	s.waitLinked(t)
	for _, m := range s.instances {
		eventually(t, m.name+" has a lease holder", func() bool { return s.hasHolder(m) })
		eventually(t, m.name+" lists the current endpoints", func() bool { return s.listsCurrent(m) })
		eventually(t, m.name+" answers a keyed booking", func() bool {
			booking := "healed-" + m.name + time.Now().String()
			return newCaller(testKey).book(m.address, booking, booking).status == http.StatusOK
		})
	}
}

// hasHolder reports whether an instance of the entry's domain holds a lease.
func (s *system) hasHolder(m *instance) bool {
	for _, other := range s.in(m.domain) {
		for _, belief := range get[wire.LeaseBeliefList](other.statusAddress, "/status").Leases {
			if belief.Holds {
				return true
			}
		}
	}
	return false
}

// listsCurrent reports whether an entry lists exactly the endpoints that the platform lists for its domain, all ready.
func (s *system) listsCurrent(m *instance) bool {
	var have, want []wire.EndpointId
	for _, e := range s.status(m).Endpoints {
		if e.Phase != wire.EndpointPhaseReady {
			return false
		}
		have = append(have, e.Endpoint)
	}
	for _, e := range get[wire.EndpointList](s.platformAddress, "/endpoints?domain="+m.domain).Endpoints {
		want = append(want, e.Endpoint)
	}
	slices.Sort(have)
	slices.Sort(want)
	return slices.Equal(have, want)
}

// TestIsolatedDomainCatchesUp isolates one domain from the platform and from the other domains while these accept a document
// that withdraws a key and while one of its engines vanishes. The isolated domain keeps serving. Once it is reconnected, it
// refuses the key and lists the current endpoints.
func TestIsolatedDomainCatchesUp(t *testing.T) {
	t.Parallel()
	s := newSystem(t, threeDomainPlan())
	s.waitEndpointsReady()
	s.waitHealed(t)
	tr := startTraffic(s)
	s.setOutsideProxies(blackHole, "c")
	p := tr.startPhase("c isolated")
	d := s.document()
	d.Workspace[1].Key = []document.Key{{Digest: document.KeyDigest("csh_another-key"), Label: "another"}}
	s.submit(1, d)
	vanished := s.endpointIn(s.engines, "c")
	s.post(s.platformAddress, "/endpoints/vanish", wire.EndpointRef{Endpoint: wire.EndpointId(vanished.id)})
	vanished.process.kill()
	<-time.After(faultDuration)
	for _, m := range s.in("c") {
		if res := newCaller(otherKey).chat(m.address, "before the withdrawal is known", 3); res.status != http.StatusOK {
			t.Errorf("%s refused a key although it cannot have received the withdrawal: %d", m.name, res.status)
		}
	}
	tr.startPhase("healing")
	s.setOutsideProxies(pass, "c")
	s.requireHealed(t, "c isolated")
	for _, m := range s.instances {
		if v := s.status(m).DocumentVersion; v != 2 {
			t.Errorf("%s has version %d", m.name, v)
		}
		if res := newCaller(otherKey).chat(m.address, "after the withdrawal", 3); res.status != http.StatusUnauthorized {
			t.Errorf("%s answered a withdrawn key with %d", m.name, res.status)
		}
	}
	tr.finish()
	p.logSummary(t, tr.phases[0])
	p.requireServed(t, chatRequests, unkeyedBookings)
	tr.checkAgainstRuns(t)
}

// endpointIn returns the first endpoint of a list that is in a domain.
func (s *system) endpointIn(list []*endpoint, domain string) *endpoint {
	for _, e := range list {
		if e.domain == domain {
			return e
		}
	}
	s.t.Fatalf("no endpoint in domain %s", domain)
	return nil
}

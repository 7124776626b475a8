package proof

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/wire"
)

// Targets.
const (
	// healWithin is how soon everything works again after a cut or an outage.
	healWithin = 7 * time.Second
	// addedAtMost bounds what a cut adds to a chat's latency: less than one timed-out call of the store.
	addedAtMost = storeTimeout / 2
)

// Times of the cuts; each cut outlasts every timeout of the settings below and a link's heartbeat bound of 4.5 s.
const (
	baseline     = 2 * time.Second
	cutLasts     = 5 * time.Second
	storeTimeout = time.Second
	slowStore    = 3 * time.Second
)

func threeDomains() plan {
	return plan{
		domains: []string{"a", "b", "c"}, entries: 2, engines: 2, services: 1, checksFencing: true,
		engineSettings: "OrderMillis = 100\nDecodeMicrosPerToken = 2000\n",
		dutySettings:   "LeaseTermMillis = 1500\nOrderTimeoutMillis = 500\nTickMillis = 100\n",
		entrySettings:  "StallMillis = 1000\nQueueMillis = 1000\nClaimMillis = 1000\nStoreMillis = 300\nStoreTimeoutMillis = 1000\n",
	}
}

// trial is one cut or outage.
type trial struct {
	name  string
	begin func()
	end   func()
	// table tells that the table stays in reach.
	table bool
}

// TestCutOffDomainsGoOnServing cuts every domain from the platform, from the others and from both, takes the store down
// and makes it slow, and holds what was served and refused inside against what the endpoints ran.
func TestCutOffDomainsGoOnServing(t *testing.T) {
	t.Parallel()
	s := newSystem(t, threeDomains())
	s.serveFully()
	s.linked(t)
	s.awaitHealed(t)
	f := startTraffic(s)
	before := f.phases[0]
	<-time.After(baseline)
	all := s.plan.domains
	trials := []trial{
		{name: "no platform", begin: func() { s.cutPlatform(blackHole, all...) }, end: func() { s.cutPlatform(pass, all...) }},
		{name: "no other domain", table: true, begin: func() { s.cutDomains(blackHole, all...) }, end: func() { s.cutDomains(pass, all...) }},
		{name: "neither", begin: func() { s.isolate(refuse, all...) }, end: func() { s.isolate(pass, all...) }},
		{name: "store down", begin: func() { s.storeFault(wire.PlatformFault{Down: true}) }, end: func() { s.storeFault(wire.PlatformFault{}) }},
		{name: "store slow", begin: func() { s.storeFault(wire.PlatformFault{DelayMillis: int(slowStore.Milliseconds())}) }, end: func() { s.storeFault(wire.PlatformFault{}) }},
	}
	for _, trial := range trials {
		trial.begin()
		p := f.enter(trial.name)
		<-time.After(cutLasts)
		f.enter("healing from " + trial.name)
		trial.end()
		s.demandHealed(t, trial.name)
		p.show(t, before)
		p.demandServed(t, chats, unkeyed)
		if trial.table {
			p.demandServed(t, keyed)
		} else {
			p.demandUnknown(t)
		}
		if added := p.latency(chats, 0.99) - before.latency(chats, 0.99); added > addedAtMost {
			t.Errorf("%s: the p99 of chats rose by %v", trial.name, added)
		}
	}
	f.enter("after")
	<-time.After(baseline / 2)
	f.finish()
	f.phases[len(f.phases)-1].demandServed(t, chats, unkeyed, keyed)
	f.judge(t)
}

// demandUnknown fails unless every keyed booking that was not served was refused as Unknown: nobody can look up whether an
// earlier attempt ran.
func (p *phase) demandUnknown(t *testing.T) {
	t.Helper()
	refused := 0
	for _, x := range p.of(keyed) {
		if x.served() {
			continue
		}
		refused++
		if x.outcome != "Unknown" {
			t.Errorf("%s: a keyed booking was answered %d %q", p.name, x.status, x.outcome)
		}
	}
	if refused == 0 {
		t.Errorf("%s: no keyed booking was refused", p.name)
	}
}

// isolate does the same to every way of some domains to the platform and to all others.
func (s *system) isolate(m mode, domains ...string) {
	s.cutPlatform(m, domains...)
	s.cutDomains(m, domains...)
}

func (s *system) storeFault(f wire.PlatformFault) {
	s.post(s.platform, "/fault", f)
}

// demandHealed measures how long everything takes to work again.
func (s *system) demandHealed(t *testing.T, after string) {
	t.Helper()
	began := time.Now()
	s.awaitHealed(t)
	took := time.Since(began)
	t.Logf("%s: everything worked again %v after its end", after, took.Round(time.Millisecond))
	if took > healWithin {
		t.Errorf("%s: healing took %v, more than %v", after, took, healWithin)
	}
}

// awaitHealed waits until every entry is linked to all others and to its domain's holder, lists the newest endpoints, and
// answers a keyed booking.
func (s *system) awaitHealed(t *testing.T) {
	t.Helper()
	s.linked(t)
	for _, m := range s.members {
		eventually(t, m.name+" has a holder", func() bool { return s.hasHolder(m) })
		eventually(t, m.name+" lists the newest endpoints", func() bool { return s.listsNewest(m) })
		eventually(t, m.name+" answers a keyed booking", func() bool {
			booking := "healed-" + m.name + time.Now().String()
			return newCaller(testKey).book(m.address, booking, booking).status == http.StatusOK
		})
	}
}

// hasHolder tells whether an instance of the entry's domain holds the domain's lease.
func (s *system) hasHolder(m *member) bool {
	for _, other := range s.in(m.domain) {
		for _, belief := range get[wire.LeaseBeliefList](other.status, "/status").Leases {
			if belief.Holds {
				return true
			}
		}
	}
	return false
}

// listsNewest tells whether an entry lists just the endpoints of its domain that the platform lists, all ready.
func (s *system) listsNewest(m *member) bool {
	var have, want []wire.EndpointId
	for _, e := range s.status(m).Endpoints {
		if e.Phase != wire.EndpointPhaseReady {
			return false
		}
		have = append(have, e.Endpoint)
	}
	for _, e := range get[wire.EndpointList](s.platform, "/endpoints?domain="+m.domain).Endpoints {
		want = append(want, e.Endpoint)
	}
	slices.Sort(have)
	slices.Sort(want)
	return slices.Equal(have, want)
}

// TestCutOffDomainCatchesUp cuts one domain from everything while the rest accepts a document that withdraws a key, and
// while one of its engines vanishes. Inside, requests go on; after healing, the key is refused and the lists are newest.
func TestCutOffDomainCatchesUp(t *testing.T) {
	t.Parallel()
	s := newSystem(t, threeDomains())
	s.serveFully()
	s.awaitHealed(t)
	f := startTraffic(s)
	s.isolate(blackHole, "c")
	p := f.enter("c alone")
	d := s.document()
	d.Workspace[1].Key = []document.Key{{Digest: document.KeyDigest("csh_another-key"), Label: "another"}}
	s.submit(1, d)
	left := s.backendIn(s.engines, "c")
	s.post(s.platform, "/endpoints/vanish", wire.EndpointRef{Endpoint: wire.EndpointId(left.id)})
	left.process.kill()
	<-time.After(cutLasts)
	for _, m := range s.in("c") {
		if res := newCaller(otherKey).chat(m.address, "before the withdrawal is known", 3); res.status != http.StatusOK {
			t.Errorf("%s refused a key whose withdrawal it cannot know: %d", m.name, res.status)
		}
	}
	f.enter("healing")
	s.isolate(pass, "c")
	s.demandHealed(t, "c alone")
	for _, m := range s.members {
		if v := s.status(m).DocumentVersion; v != 2 {
			t.Errorf("%s has version %d", m.name, v)
		}
		if res := newCaller(otherKey).chat(m.address, "after the withdrawal", 3); res.status != http.StatusUnauthorized {
			t.Errorf("%s answered a withdrawn key with %d", m.name, res.status)
		}
	}
	f.finish()
	p.show(t, f.phases[0])
	p.demandServed(t, chats, unkeyed)
	f.judge(t)
}

// backendIn returns the first backend of a domain.
func (s *system) backendIn(list []*backend, domain string) *backend {
	for _, b := range list {
		if b.domain == domain {
			return b
		}
	}
	s.t.Fatalf("no backend in %s", domain)
	return nil
}

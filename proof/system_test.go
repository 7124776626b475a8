package proof

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/wire"
)

// Names that every test's document uses.
const (
	testModel      = "itinerary"
	testService    = "booking"
	testWorkspace  = "bluegum-venues"
	otherWorkspace = "lustre-quotes"
	testKey        = "csh_proof-key-of-bluegum"
	otherKey       = "csh_proof-key-of-lustre"
	operatorToken  = "proof-operator-token"
	peerSecret     = "proof-secret-of-peers"
)

// plan describes what a system consists of.
type plan struct {
	domains  []string
	entries  int
	engines  int
	services int
	// spareEngines is how many of a domain's engines the document does not order.
	spareEngines int
	// engineSettings is added to each engine's settings.
	engineSettings string
	// entrySettings is added to each entry's settings, ahead of tables.
	entrySettings string
	// dutySettings is added to the settings of each instance with duties, ahead of tables.
	dutySettings string
	// checksFencing makes engines reject orders whose epoch is lower than the highest that they accepted.
	checksFencing bool
	// cheap sets Cheap on the kind of the model engines.
	cheap bool
	// noDuties runs no duties. separateDuties runs them in a second instance beside each entry that takes no callers, so that
	// a test can kill or pause the lease holder without interrupting a caller.
	noDuties, separateDuties bool
}

// instance is one entry and, with separateDuties, the second instance that runs its duties.
type instance struct {
	name              string
	domain            string
	address           string
	operatorAddress   string
	operationsAddress string
	// statusAddress is the operations address of the instance with the duties, whose /status lists its leases.
	statusAddress string
	peerProxy     *proxy
	platformProxy *proxy
	// domainProxies are the proxies through which each domain reaches the entry's peer address.
	domainProxies domainProxies
	entry         *runningProgram
	// duties is the program that runs the duties; without separateDuties it is the entry.
	duties *runningProgram
}

// endpoint is a stand-in engine or service and the proxy in front of it.
type endpoint struct {
	id      string
	domain  string
	kind    string
	address string
	proxy   *proxy
	process *runningProgram
}

// system is a complete deployment on loopback addresses.
type system struct {
	t               testing.TB
	dir             string
	plan            plan
	platformAddress string
	store           *runningProgram
	instances       []*instance
	engines         []*endpoint
	services        []*endpoint
}

// newSystem starts the stand-in programs and the instances, submits the first document, and waits until all entries are ready.
func newSystem(t testing.TB, p plan) *system {
	t.Helper()
	s := &system{t: t, dir: t.TempDir(), plan: p, platformAddress: freeAddress(t)}
	for _, domain := range p.domains {
		for i := range p.engines {
			s.engines = append(s.engines, s.startEndpoint("standin-engine", domain, "drafting", i))
		}
		for i := range p.services {
			s.services = append(s.services, s.startEndpoint("standin-service", domain, "booking", i))
		}
	}
	s.store = start(t, s.dir, "standin-platform", "platform", s.platformSettings())
	s.waitReady("platform", s.platformAddress, "/instances")
	for _, domain := range p.domains {
		for i := range p.entries {
			s.instances = append(s.instances, s.newInstance(domain, i))
		}
	}
	for _, m := range s.instances {
		m.entry = start(t, s.dir, "entry", m.name, s.entrySettings(m))
		m.duties = m.entry
		if p.separateDuties {
			m.duties = start(t, s.dir, "entry", "duties-"+m.name, s.dutySettings(m))
		}
	}
	for _, m := range s.instances {
		s.waitReady(m.name, m.operationsAddress, "/healthz")
	}
	s.submit(0, s.document())
	for _, m := range s.instances {
		s.waitReady(m.name, m.operationsAddress, "/readyz")
	}
	return s
}

// waitEndpointsReady waits until every entry lists all ordered endpoints of its domain as ready.
func (s *system) waitEndpointsReady() {
	s.t.Helper()
	for _, m := range s.instances {
		eventually(s.t, m.name+" lists ready endpoints", func() bool {
			ready := 0
			for _, e := range s.status(m).Endpoints {
				if e.Phase == wire.EndpointPhaseReady {
					ready++
				}
			}
			return ready == s.plan.engines-s.plan.spareEngines+s.plan.services
		})
	}
}

func (s *system) startEndpoint(program, domain, kind string, i int) *endpoint {
	b := &endpoint{id: fmt.Sprintf("%s-%s-%d", kind, domain, i), domain: domain, kind: kind, address: freeAddress(s.t)}
	settings := fmt.Sprintf("Address = %q\nOperationsAddress = %q\nEndpoint = %q\n", b.address, freeAddress(s.t), b.id)
	if program == "standin-engine" {
		settings += fmt.Sprintf("ChecksFencing = %v\n%s", s.plan.checksFencing, s.plan.engineSettings)
	}
	b.process = start(s.t, s.dir, program, b.id, settings)
	s.waitReady(b.id, b.address, "/received")
	b.proxy = newProxy(s.t, b.address)
	return b
}

func (s *system) platformSettings() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Address = %q\nOperationsAddress = %q\nInstancesLagMillis = 200\n", s.platformAddress, freeAddress(s.t))
	for _, e := range append(append([]*endpoint{}, s.engines...), s.services...) {
		fmt.Fprintf(&b, "[[Endpoint]]\nEndpoint = %q\nDomain = %q\nKind = %q\nAddress = %q\n", e.id, e.domain, e.kind, e.proxy.address)
	}
	return b.String()
}

func (s *system) newInstance(domain string, i int) *instance {
	m := &instance{
		name:              fmt.Sprintf("entry-%s%d", domain, i),
		domain:            domain,
		address:           freeAddress(s.t),
		operatorAddress:   freeAddress(s.t),
		operationsAddress: freeAddress(s.t),
		peerProxy:         newProxy(s.t, freeAddress(s.t)),
		platformProxy:     newProxy(s.t, s.platformAddress),
	}
	m.statusAddress = m.operationsAddress
	if s.plan.separateDuties {
		m.statusAddress = freeAddress(s.t)
	}
	m.domainProxies = newDomainProxies(s.t, m.peerProxy, domain, s.plan.domains)
	return m
}

func (s *system) entrySettings(m *instance) string {
	var b strings.Builder
	fmt.Fprintf(&b, "Instance = %q\nDomain = %q\nLogLevel = \"debug\"\n", m.name, m.domain)
	fmt.Fprintf(&b, "Address = %q\nOperatorAddress = %q\n", m.address, m.operatorAddress)
	fmt.Fprintf(&b, "PeerAddress = %q\nOperationsAddress = %q\n", m.peerProxy.target, m.operationsAddress)
	fmt.Fprintf(&b, "Platform = %q\nPeerSecret = %q\n%s", m.platformProxy.address, peerSecret, s.plan.entrySettings)
	if s.plan.noDuties || s.plan.separateDuties {
		b.WriteString("NoDuties = true\n")
	} else {
		b.WriteString(s.plan.dutySettings)
	}
	fmt.Fprintf(&b, "[[Operator]]\nName = \"board\"\nTokenDigest = %q\n", document.KeyDigest(operatorToken))
	for _, other := range s.instances {
		if other != m {
			fmt.Fprintf(&b, "[[Peer]]\nInstance = %q\nDomain = %q\nAddress = %q\n", other.name, other.domain, other.domainProxies.fromDomain(m.domain).address)
		}
	}
	return b.String()
}

// dutySettings are the settings of the instance that takes no callers and runs the duties beside an entry.
func (s *system) dutySettings(m *instance) string {
	var b strings.Builder
	fmt.Fprintf(&b, "Instance = %q\nDomain = %q\nLogLevel = \"debug\"\n", "duties-"+m.name, m.domain)
	fmt.Fprintf(&b, "Address = %q\nOperatorAddress = %q\n", freeAddress(s.t), freeAddress(s.t))
	fmt.Fprintf(&b, "PeerAddress = %q\nOperationsAddress = %q\n", freeAddress(s.t), m.statusAddress)
	fmt.Fprintf(&b, "Platform = %q\nPeerSecret = %q\nLeaveMillis = 50\n%s", m.platformProxy.address, peerSecret, s.plan.dutySettings)
	for _, other := range s.instances {
		if other.domain == m.domain {
			fmt.Fprintf(&b, "[[Peer]]\nInstance = %q\nDomain = %q\nAddress = %q\n", other.name, other.domain, other.peerProxy.address)
		}
	}
	return b.String()
}

func (s *system) waitReady(name, address, path string) {
	s.t.Helper()
	eventually(s.t, name+" answers "+path, func() bool {
		answer, err := http.Get("http://" + address + path)
		if err != nil {
			return false
		}
		answer.Body.Close()
		return answer.StatusCode == http.StatusOK
	})
}

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
	testModel     = "itinerary"
	testService   = "booking"
	testWorkspace = "bluegum-venues"
	otherSpace    = "lustre-quotes"
	testKey       = "csh_proof-key-of-bluegum"
	otherKey      = "csh_proof-key-of-lustre"
	operatorToken = "proof-operator-token"
	peerSecret    = "proof-secret-of-peers"
)

// plan says what a system consists of.
type plan struct {
	domains  []string
	entries  int
	engines  int
	services int
	// spare is how many of a domain's engines the document does not order.
	spare int
	// engineSettings is added to each engine's settings.
	engineSettings string
	// entrySettings is added to each entry's settings, ahead of tables.
	entrySettings string
	// dutySettings is added to the settings of each instance with duties, ahead of tables.
	dutySettings string
	// checksFencing tells whether engines refuse old epochs.
	checksFencing bool
	// cheap makes the model engines cheap.
	cheap bool
	// noDuties leaves the duties out. With apart they run in an instance beside each entry that takes no callers, so that a test can
	// kill or pause their holder and cut no caller.
	noDuties, apart bool
}

// member is one instance: an entry and, where they are apart, the instance with its duties.
type member struct {
	name       string
	domain     string
	address    string
	operator   string
	operations string
	// status is where the instance with the duties shows its leases.
	status        string
	peerProxy     *proxy
	platformProxy *proxy
	// ways are where each other domain reaches the entry's peer address.
	ways  ways
	entry *running
	// duties is the instance with the duties.
	duties *running
}

// backend is one endpoint.
type backend struct {
	id      string
	domain  string
	kind    string
	address string
	proxy   *proxy
	process *running
}

// system is a whole deployment on loopback.
type system struct {
	t        testing.TB
	dir      string
	plan     plan
	platform string
	store    *running
	members  []*member
	engines  []*backend
	services []*backend
}

// newSystem starts the stand-ins and the instances, and submits the first document.
func newSystem(t testing.TB, p plan) *system {
	t.Helper()
	s := &system{t: t, dir: t.TempDir(), plan: p, platform: freeAddress(t)}
	for _, domain := range p.domains {
		for i := range p.engines {
			s.engines = append(s.engines, s.startBackend("standin-engine", domain, "drafting", i))
		}
		for i := range p.services {
			s.services = append(s.services, s.startBackend("standin-service", domain, "booking", i))
		}
	}
	s.store = start(t, s.dir, "standin-platform", "platform", s.platformSettings())
	s.waitReady("platform", s.platform, "/instances")
	for _, domain := range p.domains {
		for i := range p.entries {
			s.members = append(s.members, s.newMember(domain, i))
		}
	}
	for _, m := range s.members {
		m.entry = start(t, s.dir, "entry", m.name, s.entrySettings(m))
		m.duties = m.entry
		if p.apart {
			m.duties = start(t, s.dir, "entry", "duties-"+m.name, s.apartSettings(m))
		}
	}
	for _, m := range s.members {
		s.waitReady(m.name, m.operations, "/healthz")
	}
	s.submit(0, s.document())
	for _, m := range s.members {
		s.waitReady(m.name, m.operations, "/readyz")
	}
	return s
}

// serveFully waits until every entry serves the model and the service.
func (s *system) serveFully() {
	s.t.Helper()
	for _, m := range s.members {
		eventually(s.t, m.name+" lists ready endpoints", func() bool {
			ready := 0
			for _, e := range s.status(m).Endpoints {
				if e.Phase == wire.EndpointPhaseReady {
					ready++
				}
			}
			return ready == s.plan.engines-s.plan.spare+s.plan.services
		})
	}
}

func (s *system) startBackend(program, domain, kind string, i int) *backend {
	b := &backend{id: fmt.Sprintf("%s-%s-%d", kind, domain, i), domain: domain, kind: kind, address: freeAddress(s.t)}
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
	fmt.Fprintf(&b, "Address = %q\nOperationsAddress = %q\nInstancesLagMillis = 200\n", s.platform, freeAddress(s.t))
	for _, e := range append(append([]*backend{}, s.engines...), s.services...) {
		fmt.Fprintf(&b, "[[Endpoint]]\nEndpoint = %q\nDomain = %q\nKind = %q\nAddress = %q\n", e.id, e.domain, e.kind, e.proxy.address)
	}
	return b.String()
}

func (s *system) newMember(domain string, i int) *member {
	m := &member{
		name:          fmt.Sprintf("entry-%s%d", domain, i),
		domain:        domain,
		address:       freeAddress(s.t),
		operator:      freeAddress(s.t),
		operations:    freeAddress(s.t),
		peerProxy:     newProxy(s.t, freeAddress(s.t)),
		platformProxy: newProxy(s.t, s.platform),
	}
	m.status = m.operations
	if s.plan.apart {
		m.status = freeAddress(s.t)
	}
	m.ways = newWays(s.t, m.peerProxy, domain, s.plan.domains)
	return m
}

func (s *system) entrySettings(m *member) string {
	var b strings.Builder
	fmt.Fprintf(&b, "Instance = %q\nDomain = %q\nLogLevel = \"debug\"\n", m.name, m.domain)
	fmt.Fprintf(&b, "Address = %q\nOperatorAddress = %q\n", m.address, m.operator)
	fmt.Fprintf(&b, "PeerAddress = %q\nOperationsAddress = %q\n", m.peerProxy.target, m.operations)
	fmt.Fprintf(&b, "Platform = %q\nPeerSecret = %q\n%s", m.platformProxy.address, peerSecret, s.plan.entrySettings)
	if s.plan.noDuties || s.plan.apart {
		b.WriteString("NoDuties = true\n")
	} else {
		b.WriteString(s.plan.dutySettings)
	}
	fmt.Fprintf(&b, "[[Operator]]\nName = \"board\"\nTokenDigest = %q\n", document.KeyDigest(operatorToken))
	for _, other := range s.members {
		if other != m {
			fmt.Fprintf(&b, "[[Peer]]\nInstance = %q\nDomain = %q\nAddress = %q\n", other.name, other.domain, other.ways.from(m.domain).address)
		}
	}
	return b.String()
}

// apartSettings are those of an instance that takes no callers and does the duties of a member.
func (s *system) apartSettings(m *member) string {
	var b strings.Builder
	fmt.Fprintf(&b, "Instance = %q\nDomain = %q\nLogLevel = \"debug\"\n", "duties-"+m.name, m.domain)
	fmt.Fprintf(&b, "Address = %q\nOperatorAddress = %q\n", freeAddress(s.t), freeAddress(s.t))
	fmt.Fprintf(&b, "PeerAddress = %q\nOperationsAddress = %q\n", freeAddress(s.t), m.status)
	fmt.Fprintf(&b, "Platform = %q\nPeerSecret = %q\nLeaveMillis = 50\n%s", m.platformProxy.address, peerSecret, s.plan.dutySettings)
	for _, other := range s.members {
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

package proof

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
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
	// controllerSettings is added to each controller's settings, ahead of tables.
	controllerSettings string
	// checksFencing tells whether engines refuse old epochs.
	checksFencing bool
	// cheap makes the model engines cheap.
	cheap bool
	// noControllers leaves the controllers out.
	noControllers bool
}

// member is one instance: an entry and the controller beside it.
type member struct {
	name          string
	domain        string
	address       string
	operator      string
	operations    string
	status        string
	peerProxy     *proxy
	platformProxy *proxy
	// ways are where each other domain reaches the entry's peer address.
	ways       ways
	entry      *running
	controller *running
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

// newSystem starts the stand-ins, the entries and the controllers, and submits the first document.
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
		if !p.noControllers {
			m.controller = start(t, s.dir, "controller", "controller-"+m.name, s.controllerSettings(m))
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
		status:        freeAddress(s.t),
		peerProxy:     newProxy(s.t, freeAddress(s.t)),
		platformProxy: newProxy(s.t, s.platform),
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
	fmt.Fprintf(&b, "[[Operator]]\nName = \"board\"\nTokenDigest = %q\n", document.KeyDigest(operatorToken))
	for _, other := range s.members {
		if other != m {
			fmt.Fprintf(&b, "[[Peer]]\nInstance = %q\nDomain = %q\nAddress = %q\n", other.name, other.domain, other.ways.from(m.domain).address)
		}
	}
	return b.String()
}

func (s *system) controllerSettings(m *member) string {
	var b strings.Builder
	fmt.Fprintf(&b, "Instance = %q\nDomain = %q\nAddress = %q\nLogLevel = \"debug\"\n", "controller-"+m.name, m.domain, m.status)
	fmt.Fprintf(&b, "Platform = %q\nPeerSecret = %q\n%s", m.platformProxy.address, peerSecret, s.plan.controllerSettings)
	for _, other := range s.members {
		if other.domain == m.domain {
			fmt.Fprintf(&b, "[[Entry]]\nInstance = %q\nAddress = %q\n", other.name, other.peerProxy.address)
		}
	}
	return b.String()
}

// document returns the first document.
func (s *system) document() *document.Document {
	repeatable := true
	d := &document.Document{
		Model: []document.Model{{Name: testModel, Version: "1", PromptPrice: 1000, OutputPrice: 4000, Repeatable: &repeatable}},
		EndpointKind: []document.EndpointKind{
			{Name: "drafting", Serves: document.ServesModel, Model: testModel, Cheap: s.plan.cheap, ChecksFencing: s.plan.checksFencing, Concurrency: 16},
			{Name: "booking", Serves: document.ServesService, Service: testService, Concurrency: 32},
		},
		Route: []document.Route{
			{Service: testService, Prefix: "/bookings", Method: "POST", Price: 500},
			{Service: testService, Prefix: "/bookings", Method: "GET", Repeatable: true},
			{Service: testService, Prefix: "/open", Method: "GET", Repeatable: true, Open: true},
		},
		Workspace: []document.Workspace{
			{Name: testWorkspace, Models: []wire.ModelName{testModel}, Services: []wire.ServiceName{testService}, Key: []document.Key{{Digest: document.KeyDigest(testKey), Label: "proof"}}},
			{Name: otherSpace, Models: []wire.ModelName{testModel}, Services: []wire.ServiceName{testService}, Key: []document.Key{{Digest: document.KeyDigest(otherKey), Label: "proof"}}},
		},
	}
	for _, domain := range s.plan.domains {
		d.Fleet = append(d.Fleet,
			document.Fleet{Domain: wire.DomainName(domain), Kind: "drafting", Count: s.plan.engines - s.plan.spare},
			document.Fleet{Domain: wire.DomainName(domain), Kind: "booking", Count: s.plan.services})
	}
	return d
}

// submit submits a document at the first entry through the operators' command line.
func (s *system) submit(base int, d *document.Document) {
	s.t.Helper()
	if out, code := s.trySubmit(s.members[0], base, d); code != 0 {
		s.t.Fatalf("submit: exit code %d\n%s", code, out)
	}
}

func (s *system) trySubmit(m *member, base int, d *document.Document) (string, int) {
	s.t.Helper()
	text, err := document.Encode(d)
	if err != nil {
		s.t.Fatal(err)
	}
	path := filepath.Join(s.dir, fmt.Sprintf("document-%s-%d.toml", m.name, base))
	if err := os.WriteFile(path, text, 0o600); err != nil {
		s.t.Fatal(err)
	}
	return s.operate(m, "document", "submit", path, "--base", fmt.Sprint(base), "--why", "proof")
}

// operate runs the operators' command line against an entry.
func (s *system) operate(m *member, args ...string) (string, int) {
	s.t.Helper()
	cmd := exec.Command(filepath.Join(binaries, "cowslipshunt"), append(args, "--entry", m.operator)...)
	cmd.Env = append(os.Environ(), "COWSLIPSHUNT_TOKEN="+operatorToken)
	out, err := cmd.CombinedOutput()
	if exit, ok := err.(*exec.ExitError); ok {
		return string(out), exit.ExitCode()
	}
	if err != nil {
		s.t.Fatal(err)
	}
	return string(out), 0
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

// status asks an entry for the system as it sees it.
func (s *system) status(m *member) wire.StatusAnswer {
	r, err := http.NewRequest(http.MethodGet, "http://"+m.operator+"/v1/status", nil)
	if err != nil {
		s.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+operatorToken)
	return getJSON[wire.StatusAnswer](r)
}

// get reads JSON from an address; a failure is a zero value.
func get[T any](address, path string) T {
	r, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		panic(err)
	}
	return getJSON[T](r)
}

func getJSON[T any](r *http.Request) T {
	var v T
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return v
	}
	defer answer.Body.Close()
	data, _ := io.ReadAll(answer.Body)
	_ = json.Unmarshal(data, &v)
	return v
}

// post sends JSON to a stand-in's control.
func (s *system) post(address, path string, v any) {
	s.t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		s.t.Fatal(err)
	}
	answer, err := http.Post("http://"+address+path, "application/json", bytes.NewReader(data))
	if err != nil {
		s.t.Fatal(err)
	}
	answer.Body.Close()
	if answer.StatusCode >= http.StatusBadRequest {
		s.t.Fatalf("POST %s%s: status %d", address, path, answer.StatusCode)
	}
}

func decode(text string, into any) {
	_ = json.Unmarshal([]byte(text), into)
}

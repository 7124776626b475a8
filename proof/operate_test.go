package proof

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"

	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/wire"
)

// document returns the document that newSystem submits first.
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
			{Name: otherWorkspace, Models: []wire.ModelName{testModel}, Services: []wire.ServiceName{testService}, Key: []document.Key{{Digest: document.KeyDigest(otherKey), Label: "proof"}}},
		},
	}
	for _, domain := range s.plan.domains {
		d.Fleet = append(d.Fleet,
			document.Fleet{Domain: wire.DomainName(domain), Kind: "drafting", Count: s.plan.engines - s.plan.spareEngines},
			document.Fleet{Domain: wire.DomainName(domain), Kind: "booking", Count: s.plan.services})
	}
	return d
}

// submit submits a document at the first entry through the operators' command line.
func (s *system) submit(base int, d *document.Document) {
	s.t.Helper()
	if out, code := s.submitAt(s.instances[0], base, d); code != 0 {
		s.t.Fatalf("submit: exit code %d\n%s", code, out)
	}
}

func (s *system) submitAt(m *instance, base int, d *document.Document) (string, int) {
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
func (s *system) operate(m *instance, args ...string) (string, int) {
	s.t.Helper()
	cmd := exec.Command(filepath.Join(binaries, "cowslipshunt"), append(args, "--entry", m.operatorAddress)...)
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

// status returns the state of the system as reported by an entry.
func (s *system) status(m *instance) wire.StatusAnswer {
	r, err := http.NewRequest(http.MethodGet, "http://"+m.operatorAddress+"/v1/status", nil)
	if err != nil {
		s.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+operatorToken)
	return getJSON[wire.StatusAnswer](r)
}

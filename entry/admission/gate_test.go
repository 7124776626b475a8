package admission_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"cowslipshunt.example/entry/admission"
	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/shared/process"
	"cowslipshunt.example/wire"
	"pgregory.net/rapid"
)

const (
	workspaces  = 3
	keys        = 5
	maxInFlight = 1000
)

// confirmationAge is the time since the document was confirmed.
type confirmationAge time.Duration

// SinceConfirmed returns the set age.
func (a *confirmationAge) SinceConfirmed() time.Duration {
	return time.Duration(*a)
}

// keyModel is the reference model of an accepted document: the workspace that owns each key, or nobody, and how many seconds the
// keys of each workspace stay valid without a confirmation.
type keyModel struct {
	owner           [keys]int
	validitySeconds [workspaces]int
}

const nobody = -1

func keyName(i int) string {
	return fmt.Sprintf("csh_key-%d", i)
}

func workspaceName(i int) wire.WorkspaceName {
	return wire.WorkspaceName(fmt.Sprintf("space-%d", i))
}

// encode returns the text of the document.
func (m *keyModel) encode(t *rapid.T) []byte {
	d := &document.Document{}
	for i := range workspaces {
		d.Workspace = append(d.Workspace, document.Workspace{Name: workspaceName(i), KeyValidSeconds: m.validitySeconds[i]})
	}
	for i, owner := range m.owner {
		if owner != nobody {
			w := &d.Workspace[owner]
			w.Key = append(w.Key, document.Key{Digest: document.KeyDigest(keyName(i)), Label: fmt.Sprint(i)})
		}
	}
	text, err := document.Encode(d)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// gateTest holds a gate, the model of its document and the admitted requests.
type gateTest struct {
	gate     *admission.Gate
	current  *document.Current
	age      *confirmationAge
	model    *keyModel
	version  wire.DocumentVersion
	admitted []*admission.Request
}

func newGateTest() *gateTest {
	g := &gateTest{current: document.NewCurrent(), age: new(confirmationAge), model: &keyModel{}}
	g.gate = admission.NewGate(g.current, g.age, maxInFlight, process.NewLogger(io.Discard, "error", "test", "gate"))
	return g
}

// accept puts a document with random owners and validity in force.
func (g *gateTest) accept(t *rapid.T) {
	next := &keyModel{}
	for i := range next.owner {
		next.owner[i] = rapid.IntRange(nobody, workspaces-1).Draw(t, "owner")
	}
	for i := range next.validitySeconds {
		next.validitySeconds[i] = rapid.IntRange(0, 3).Draw(t, "validity")
	}
	text := next.encode(t)
	g.version++
	if _, err := g.current.Apply(g.version, document.Digest(text), text); err != nil {
		t.Fatal(err)
	}
	g.model = next
}

// ownerOf returns the workspace for which a key is valid now, or nobody. The index keys stands for a request without a key.
func (g *gateTest) ownerOf(key int) int {
	if key == keys || g.model.owner[key] == nobody {
		return nobody
	}
	owner := g.model.owner[key]
	validity := time.Duration(g.model.validitySeconds[owner]) * time.Second
	if validity > 0 && g.age.SinceConfirmed() > validity {
		return nobody
	}
	return owner
}

// request returns a request with a forged Workspace header and with the key, unless its index is keys.
func request(t *rapid.T, key int) *http.Request {
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	r.Header.Set("Workspace", string(workspaceName(rapid.IntRange(0, workspaces-1).Draw(t, "forged"))))
	switch {
	case key == keys:
	case rapid.Bool().Draw(t, "bearer"):
		r.Header.Set("Authorization", "Bearer "+keyName(key))
	default:
		r.Header.Set("X-Api-Key", keyName(key))
	}
	return r
}

// admit sends a request and checks the gate's answer against the model.
func (g *gateTest) admit(t *rapid.T) {
	key := rapid.IntRange(0, keys).Draw(t, "key")
	open := rapid.Bool().Draw(t, "open")
	req, refusal := g.gate.Admit(request(t, key), func(*document.Accepted) bool { return open })
	owner := g.ownerOf(key)
	if owner == nobody && !open {
		if refusal == nil || refusal.Status != http.StatusUnauthorized {
			t.Fatalf("key %d was not refused: %v", key, refusal)
		}
		return
	}
	if refusal != nil {
		t.Fatalf("key %d was refused: %v", key, refusal)
	}
	want := wire.WorkspaceName("")
	if owner != nobody {
		want = workspaceName(owner)
	}
	if req.Workspace.Name != want {
		t.Fatalf("key %d was admitted for workspace %q, want %q", key, req.Workspace.Name, want)
	}
	g.admitted = append(g.admitted, req)
}

// release ends the request that was admitted last.
func (g *gateTest) release(*rapid.T) {
	if n := len(g.admitted); n > 0 {
		g.admitted[n-1].Release()
		g.admitted = g.admitted[:n-1]
	}
}

// wait sets the time since the last confirmation.
func (g *gateTest) wait(t *rapid.T) {
	*g.age = confirmationAge(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
}

// check compares the gate's count with the number of admitted requests.
func (g *gateTest) check(t *rapid.T) {
	if n := g.gate.InFlight(); n != int64(len(g.admitted)) {
		t.Fatalf("%d requests are admitted, but the gate counts %d", len(g.admitted), n)
	}
}

// TestAdmitsOnlyForWorkspaceOfKey guards against requests that are admitted for a workspace which does not own their key. It
// issues, moves and withdraws keys between requests. Each request must get the workspace that owns its key in the document in
// force, or none on an open route, and requests admitted earlier must stay admitted.
func TestAdmitsOnlyForWorkspaceOfKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGateTest()
		g.accept(t)
		t.Repeat(map[string]func(*rapid.T){
			"accept": g.accept, "admit": g.admit, "release": g.release, "wait": g.wait, "": g.check,
		})
	})
}

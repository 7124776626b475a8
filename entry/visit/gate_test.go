package visit_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"cowslipshunt.example/entry/visit"
	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/shared/process"
	"cowslipshunt.example/wire"
	"pgregory.net/rapid"
)

const (
	workspaces = 3
	keys       = 5
	gateLimit  = 1000
)

// silence is how long ago the document was confirmed.
type silence time.Duration

// SinceConfirmed returns the silence.
func (s *silence) SinceConfirmed() time.Duration {
	return time.Duration(*s)
}

// owned is one accepted document as the oracle sees it: who owns each key, or nobody, and each workspace's validity.
type owned struct {
	owner    [keys]int
	validity [workspaces]int
}

const nobody = -1

func keyName(i int) string {
	return fmt.Sprintf("csh_key-%d", i)
}

func spaceName(i int) wire.WorkspaceName {
	return wire.WorkspaceName(fmt.Sprintf("space-%d", i))
}

func (o *owned) encode(t *rapid.T) []byte {
	d := &document.Document{}
	for i := range workspaces {
		d.Workspace = append(d.Workspace, document.Workspace{Name: spaceName(i), KeyValidSeconds: o.validity[i]})
	}
	for i, owner := range o.owner {
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

// door is a gate, the oracle's document and the requests inside.
type door struct {
	gate    *visit.Gate
	current *document.Current
	quiet   *silence
	now     *owned
	version wire.DocumentVersion
	inside  []*visit.Request
}

func newDoor() *door {
	d := &door{current: document.NewCurrent(), quiet: new(silence), now: &owned{}}
	d.gate = visit.NewGate(d.current, d.quiet, gateLimit, process.NewLogger(io.Discard, "error", "test", "gate"))
	return d
}

// accept puts another document in force.
func (d *door) accept(t *rapid.T) {
	next := &owned{}
	for i := range next.owner {
		next.owner[i] = rapid.IntRange(nobody, workspaces-1).Draw(t, "owner")
	}
	for i := range next.validity {
		next.validity[i] = rapid.IntRange(0, 3).Draw(t, "validity")
	}
	text := next.encode(t)
	d.version++
	if _, err := d.current.Take(d.version, document.Digest(text), text); err != nil {
		t.Fatal(err)
	}
	d.now = next
}

// ownerOf returns the workspace that a key is good for now; the number behind the last key is no key.
func (d *door) ownerOf(key int) int {
	if key == keys || d.now.owner[key] == nobody {
		return nobody
	}
	owner := d.now.owner[key]
	validity := time.Duration(d.now.validity[owner]) * time.Second
	if validity > 0 && d.quiet.SinceConfirmed() > validity {
		return nobody
	}
	return owner
}

// request is one with a key, if there is one, and a forged workspace.
func request(t *rapid.T, key int) *http.Request {
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	r.Header.Set("Workspace", string(spaceName(rapid.IntRange(0, workspaces-1).Draw(t, "forged"))))
	switch {
	case key == keys:
	case rapid.Bool().Draw(t, "bearer"):
		r.Header.Set("Authorization", "Bearer "+keyName(key))
	default:
		r.Header.Set("X-Api-Key", keyName(key))
	}
	return r
}

// enter sends a request and holds the gate's answer to the oracle.
func (d *door) enter(t *rapid.T) {
	key := rapid.IntRange(0, keys).Draw(t, "key")
	open := rapid.Bool().Draw(t, "open")
	v, refusal := d.gate.Admit(request(t, key), func(*document.Accepted) bool { return open })
	owner := d.ownerOf(key)
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
		want = spaceName(owner)
	}
	if v.Workspace.Name != want {
		t.Fatalf("key %d got in for workspace %q, not %q", key, v.Workspace.Name, want)
	}
	d.inside = append(d.inside, v)
}

// leave ends the newest request inside.
func (d *door) leave(*rapid.T) {
	if n := len(d.inside); n > 0 {
		d.inside[n-1].Release()
		d.inside = d.inside[:n-1]
	}
}

func (d *door) wait(t *rapid.T) {
	*d.quiet = silence(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
}

func (d *door) check(t *rapid.T) {
	if n := d.gate.Inside(); n != int64(len(d.inside)) {
		t.Fatalf("%d are inside, the gate counts %d", len(d.inside), n)
	}
}

// TestGateLetsInOnlyTheKeysWorkspace issues, moves and withdraws keys between requests and demands that each request gets the
// workspace that owns its key in the document in force, or none on an open route, and that those inside stay inside.
func TestGateLetsInOnlyTheKeysWorkspace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDoor()
		d.accept(t)
		t.Repeat(map[string]func(*rapid.T){
			"accept": d.accept, "enter": d.enter, "leave": d.leave, "wait": d.wait, "": d.check,
		})
	})
}

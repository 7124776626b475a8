package proof

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"cowslipshunt.example/shared/channel"
	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/shared/process"
	"cowslipshunt.example/wire"
)

// isolate closes an instance's connections to the platform and those that peers opened to it, and keeps new ones from opening.
func (m *instance) isolate() {
	m.platformProxy.setMode(cut)
	m.peerProxy.setMode(cut)
}

// ready reports whether an entry's readiness check passes.
func (m *instance) ready() bool {
	answer, err := http.Get("http://" + m.operationsAddress + "/readyz")
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// metric returns the text of one of an entry's metrics, or an empty string if the metric is missing.
func (m *instance) metric(name string) string {
	answer, err := http.Get("http://" + m.operationsAddress + "/metrics")
	if err != nil {
		return ""
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(answer.Body)
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, name+" ") {
			return strings.TrimSpace(strings.TrimPrefix(line, name))
		}
	}
	return ""
}

// checkVersionsNeverRevert checks in each entry's log that each version applied is higher than the one before, except at a
// restart.
func (s *system) checkVersionsNeverRevert(t *testing.T, restarts map[*instance]int) {
	t.Helper()
	for _, m := range s.instances {
		reverts := 0
		lines := inForceLines(t, m)
		for i := 1; i < len(lines); i++ {
			if lines[i].Version <= lines[i-1].Version {
				reverts++
			}
		}
		if reverts > restarts[m] {
			t.Errorf("%s: the version failed to increase %d times, with %d restarts: %v", m.name, reverts, restarts[m], lines)
		}
	}
}

// TestConfigurationFromPeersAtStartup restarts an entry while the store is down. Without its peers it is not ready; once it
// can reach them, it applies the newest version they have.
func TestConfigurationFromPeersAtStartup(t *testing.T) {
	s := newSystem(t, entriesOnlyPlan())
	m := s.instances[3]
	m.entry.kill()
	submitted := s.submitInBackground(t, s.instances[0], 1)
	s.waitVersion(s.instances[:3], 2)
	s.post(s.platformAddress, "/fault", wire.PlatformFault{Down: true})
	for _, other := range s.instances {
		other.peerProxy.setMode(cut)
	}
	m.entry.restart(t)
	s.waitReady(m.name, m.operationsAddress, "/healthz")
	eventually(t, "a poll of the store has failed", func() bool {
		failed := m.metric("entry_document_polls_failed_total")
		return failed != "" && failed != "0"
	})
	if res := newCaller(testKey).chat(m.address, "too early", 1); m.ready() || res.outcome != "NotRun" {
		t.Errorf("without a document: ready %v, answer %d %q", m.ready(), res.status, res.outcome)
	}
	for _, other := range s.instances {
		other.peerProxy.setMode(pass)
	}
	s.waitReady(m.name, m.operationsAddress, "/readyz")
	s.waitVersion(s.instances, 2)
	submitted()
	s.checkVersionsNeverRevert(t, nil)
}

// submitInBackground submits a document based on a version and returns at once. The returned function waits for its success.
func (s *system) submitInBackground(t *testing.T, m *instance, base int) (wait func()) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if out, code := s.submitAs(m, fmt.Sprintf("meanwhile-%d", base), base, s.documentWithWeight(base+1)); code != 0 {
			t.Errorf("submit on %d: exit code %d\n%s", base, code, out)
		}
	}()
	return func() { <-done }
}

// TestConfigurationNeverReverts isolates a domain while two versions are accepted, then reconnects its stale entries to
// their peers while they still cannot reach the table.
func TestConfigurationNeverReverts(t *testing.T) {
	s := newSystem(t, entriesOnlyPlan())
	connected, isolated := s.instances[:2], s.instances[2:]
	for _, m := range isolated {
		m.isolate()
	}
	for _, m := range connected {
		m.peerProxy.setMode(cut)
	}
	first := s.submitInBackground(t, connected[0], 1)
	s.waitVersion(connected, 2)
	second := s.submitInBackground(t, connected[1], 2)
	s.waitVersion(connected, 3)
	s.waitVersion(isolated, 1)
	for _, m := range s.instances {
		m.peerProxy.setMode(pass)
	}
	s.waitVersion(s.instances, 3)
	first()
	second()
	connected[0].entry.kill()
	connected[0].entry.restart(t)
	s.waitReady(connected[0].name, connected[0].operationsAddress, "/readyz")
	for _, m := range isolated {
		m.platformProxy.setMode(pass)
	}
	s.submit(3, s.documentWithWeight(9))
	s.waitVersion(s.instances, 4)
	s.checkVersionsNeverRevert(t, map[*instance]int{connected[0]: 1})
}

// roguePeer is a peer with the right secret that sends whatever a test tells it to.
type roguePeer struct {
	hub *channel.Hub
}

// startRoguePeer connects a rogue peer to an entry.
func startRoguePeer(t *testing.T, m *instance) *roguePeer {
	t.Helper()
	self := wire.Hello{Instance: "entry-liar", Domain: wire.DomainName(m.domain), Program: wire.ProgramEntry}
	p := &roguePeer{hub: channel.NewHub(self, process.NewLogger(io.Discard, "error", "proof", "liar"), channel.WithSecret(peerSecret))}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		_ = p.hub.Close()
	})
	p.hub.Dial(ctx, m.peerProxy.target)
	eventually(t, "the rogue peer is linked", func() bool { return len(p.hub.Links()) == 1 })
	return p
}

func (p *roguePeer) send(t *testing.T, b wire.DocumentBody) {
	t.Helper()
	if err := channel.Send(p.hub, "", "DocumentBody", b); err != nil {
		t.Fatal(err)
	}
}

// TestConfigurationFromRoguePeerIsDetected has a peer send an older document, a document under the digest of another, and
// versions that were never accepted, first while the store answers and then while it is down. While the store is down, an
// entry cannot check that a version was accepted and applies one with a valid digest. Once the store answers, the entry
// counts that version as unaccepted, and after a restart it has the accepted one.
func TestConfigurationFromRoguePeerIsDetected(t *testing.T) {
	s := newSystem(t, entriesOnlyPlan())
	s.submit(1, s.documentWithWeight(5))
	s.waitVersion(s.instances, 2)
	m := s.instances[0]
	p := startRoguePeer(t, m)
	older, err := document.Encode(s.document())
	if err != nil {
		t.Fatal(err)
	}
	unaccepted, err := document.Encode(s.documentWithWeight(99))
	if err != nil {
		t.Fatal(err)
	}
	p.send(t, wire.DocumentBody{Version: 1, Digest: document.Digest(older), Text: older})
	p.send(t, wire.DocumentBody{Version: 2, Digest: document.Digest(unaccepted), Text: unaccepted})
	p.send(t, wire.DocumentBody{Version: 3, Digest: document.Digest(older), Text: unaccepted})
	p.send(t, wire.DocumentBody{Version: 7, Digest: document.Digest(unaccepted), Text: unaccepted})
	eventually(t, "the entry rejects both newer documents", func() bool {
		return m.metric("entry_document_bodies_refused_total") == "2"
	})
	s.submit(2, s.documentWithWeight(6))
	s.waitVersion(s.instances, 3)
	s.checkVersionsNeverRevert(t, nil)
	s.checkOnlyAcceptedVersions(t)

	s.post(s.platformAddress, "/fault", wire.PlatformFault{Down: true})
	p.send(t, wire.DocumentBody{Version: 9, Digest: document.Digest(older), Text: unaccepted})
	p.send(t, wire.DocumentBody{Version: 7, Digest: document.Digest(unaccepted), Text: unaccepted})
	s.waitVersion(s.instances[:1], 7)
	s.post(s.platformAddress, "/fault", wire.PlatformFault{})
	for _, m := range s.instances {
		eventually(t, m.name+" counts an unaccepted document or has version 3", func() bool {
			unaccepted := m.metric("entry_document_unaccepted_total")
			return unaccepted != "" && unaccepted != "0" || int(s.status(m).DocumentVersion) == 3
		})
	}
	m.entry.kill()
	m.entry.restart(t)
	s.waitReady(m.name, m.operationsAddress, "/readyz")
	s.waitVersion([]*instance{m}, 3)
}

// checkOnlyAcceptedVersions checks that each version that was in force at any entry is in the history.
func (s *system) checkOnlyAcceptedVersions(t *testing.T) {
	t.Helper()
	accepted := len(getAsOperator[wire.AuditList](s, s.instances[0], "/v1/document/history").Entries)
	for _, m := range s.instances {
		for _, line := range inForceLines(t, m) {
			if int(line.Version) > accepted {
				t.Errorf("%s had version %d in force, but only %d were accepted", m.name, line.Version, accepted)
			}
		}
	}
}

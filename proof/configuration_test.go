package proof

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/wire"
)

// exitConflict is the exit code of a submission that lost a race.
const exitConflict = 4

// entriesOnly is two failure domains with two entries each and nothing to send to.
func entriesOnly() plan {
	return plan{domains: []string{"a", "b"}, entries: 2, noDuties: true}
}

// weighted returns the first document with another weight of the second workspace.
func (s *system) weighted(n int) *document.Document {
	d := s.document()
	d.Workspace[1].Weight = n
	return d
}

// submitAs submits a document in a file of its own, so that operators can race.
func (s *system) submitAs(m *member, name string, base int, d *document.Document) (string, int) {
	text, err := document.Encode(d)
	if err != nil {
		return err.Error(), -1
	}
	path := filepath.Join(s.dir, name+".toml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err.Error(), -1
	}
	return s.operate(m, "document", "submit", path, "--base", fmt.Sprint(base), "--why", name)
}

// ask reads an operators' page of an entry.
func ask[T any](s *system, m *member, path string) T {
	r, err := http.NewRequest(http.MethodGet, "http://"+m.operator+path, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+operatorToken)
	return getJSON[T](r)
}

// waitVersion waits until entries have a version in force.
func (s *system) waitVersion(members []*member, version int) {
	s.t.Helper()
	for _, m := range members {
		eventually(s.t, fmt.Sprintf("%s has version %d in force", m.name, version), func() bool {
			return int(s.status(m).DocumentVersion) == version
		})
	}
}

// race lets one operator at each entry submit another document on the same base, all at once, and returns who won.
func (s *system) race(t *testing.T, round, base int) (winner string) {
	t.Helper()
	var work sync.WaitGroup
	var mu sync.Mutex
	for i := range 2 * len(s.members) {
		work.Go(func() {
			name := fmt.Sprintf("round-%d-operator-%d", round, i)
			out, code := s.submitAs(s.members[i%len(s.members)], name, base, s.weighted(100*round+i+2))
			mu.Lock()
			defer mu.Unlock()
			switch {
			case code == 0 && winner == "":
				winner = name
			case code == 0:
				t.Errorf("%s and %s both won", winner, name)
			case code != exitConflict || !strings.Contains(out, "Weight"):
				t.Errorf("%s: exit code %d without the difference\n%s", name, code, out)
			}
		})
	}
	work.Wait()
	return winner
}

// checkHistory demands that the table and the audit hold each winner's document once, in order.
func (s *system) checkHistory(t *testing.T, winners []string) {
	t.Helper()
	entries := ask[wire.AuditList](s, s.members[0], "/v1/document/history").Entries
	if len(entries) != len(winners) {
		t.Fatalf("%d documents were accepted, not %d: %v", len(entries), len(winners), entries)
	}
	for i, e := range entries {
		if e.Why != winners[i] || int(e.DocumentVersion) != i+1 {
			t.Errorf("version %d is %q in the audit, not %q", e.DocumentVersion, e.Why, winners[i])
		}
		answer := ask[wire.DocumentAnswer](s, s.members[0], fmt.Sprintf("/v1/document?version=%d", i+1))
		if answer.Why != winners[i] || document.Digest([]byte(answer.Text)) != wire.Digest(e.Subject) {
			t.Errorf("version %d is %q in the table, not %q", i+1, answer.Why, winners[i])
		}
	}
}

// TestConfigurationRacesHaveOneWinner lets eight operators race at four entries, round after round, also while the store
// loses the answers of its transactions.
func TestConfigurationRacesHaveOneWinner(t *testing.T) {
	t.Setenv(exitAtOnce, exitAtOnceValue)
	s := newSystem(t, entriesOnly())
	winners := []string{"proof"}
	for round, fault := range []wire.PlatformFault{{}, {DelayMillis: 100}, {LoseAnswers: true, Paths: []string{"/table/transact"}}, {}} {
		s.post(s.platform, "/fault", fault)
		winners = append(winners, s.race(t, round, len(winners)))
	}
	s.waitVersion(s.members, len(winners))
	s.checkHistory(t, winners)
}

// TestConfigurationIsAcceptedOnceThoughAnswersAreLost submits while the store loses every answer, and heals it.
func TestConfigurationIsAcceptedOnceThoughAnswersAreLost(t *testing.T) {
	t.Setenv(exitAtOnce, exitAtOnceValue)
	s := newSystem(t, entriesOnly())
	s.post(s.platform, "/fault", wire.PlatformFault{LoseAnswers: true})
	type answer struct {
		out  string
		code int
	}
	done := make(chan answer, 1)
	go func() {
		out, code := s.submitAs(s.members[1], "lost", 1, s.weighted(7))
		done <- answer{out, code}
	}()
	eventually(t, "the store's answers are lost", func() bool {
		failed := s.members[1].metric("entry_document_polls_failed_total")
		return failed != "" && failed != "0"
	})
	s.post(s.platform, "/fault", wire.PlatformFault{LoseAnswers: true, Paths: []string{"/table/transact"}})
	if a := <-done; a.code != 0 || !strings.Contains(a.out, "version 2") {
		t.Errorf("exit code %d\n%s", a.code, a.out)
	}
	s.post(s.platform, "/fault", wire.PlatformFault{})
	s.waitVersion(s.members, 2)
	s.checkHistory(t, []string{"proof", "lost"})
}

// TestConfigurationIsInForceEverywhere measures the time from acceptance until the last of 8 and of 24 entries has a version
// in force, by the entries' own logs.
func TestConfigurationIsInForceEverywhere(t *testing.T) {
	const submissions = 10
	for _, entries := range []int{8, 24} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			t.Setenv(exitAtOnce, exitAtOnceValue)
			s := newSystem(t, plan{domains: []string{"a", "b"}, entries: entries / 2, noDuties: true})
			for i := range submissions {
				out, code := s.submitAs(s.members[i%entries], fmt.Sprintf("submission-%d", i), i+1, s.weighted(i+2))
				if code != 0 || strings.Contains(out, "not confirmed") {
					t.Errorf("submission %d: exit code %d\n%s", i, code, out)
				}
			}
			s.waitVersion(s.members, submissions+1)
			took := s.timesInForce(t)
			slices.Sort(took)
			if len(took) != submissions || took[len(took)-1] > inForceWithin {
				t.Errorf("in force everywhere after %v", took)
			}
			t.Logf("%d entries, %d submissions: in force everywhere after p50 %v, max %v", entries, len(took), took[len(took)/2], took[len(took)-1])
		})
	}
}

// timesInForce returns how long each version but the first took from its acceptance until it was in force at the last entry.
func (s *system) timesInForce(t *testing.T) []time.Duration {
	t.Helper()
	last := map[wire.DocumentVersion]time.Time{}
	for _, m := range s.members {
		for _, line := range inForceLines(t, m) {
			if line.Time.After(last[line.Version]) {
				last[line.Version] = line.Time
			}
		}
	}
	var took []time.Duration
	for _, e := range ask[wire.AuditList](s, s.members[0], "/v1/document/history").Entries[1:] {
		took = append(took, last[e.DocumentVersion].Sub(e.At).Round(time.Millisecond))
	}
	return took
}

// inForceLine is a log line of an entry that puts a version in force.
type inForceLine struct {
	Time    time.Time
	Message string `json:"message"`
	Version wire.DocumentVersion
}

func inForceLines(t *testing.T, m *member) []inForceLine {
	t.Helper()
	f, err := os.Open(m.entry.logs)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var list []inForceLine
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		var line inForceLine
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Message == "document in force" {
			list = append(list, line)
		}
	}
	return list
}

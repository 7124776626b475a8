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

// exitConflict is the exit code of a submission whose base version is no longer in force.
const exitConflict = 4

// entriesOnlyPlan is two failure domains with two entries each and no endpoints.
func entriesOnlyPlan() plan {
	return plan{domains: []string{"a", "b"}, entries: 2, noDuties: true}
}

// documentWithWeight returns the first document with another weight for the second workspace.
func (s *system) documentWithWeight(n int) *document.Document {
	d := s.document()
	d.Workspace[1].Weight = n
	return d
}

// submitAs submits a document from a file of its own, so that submissions can run at once. The name is also the reason.
func (s *system) submitAs(m *instance, name string, base int, d *document.Document) (string, int) {
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

// getAsOperator reads JSON from a path of an entry's operators' address.
func getAsOperator[T any](s *system, m *instance, path string) T {
	r, err := http.NewRequest(http.MethodGet, "http://"+m.operatorAddress+path, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+operatorToken)
	return getJSON[T](r)
}

// waitVersion waits until the given entries have a version in force.
func (s *system) waitVersion(instances []*instance, version int) {
	s.t.Helper()
	for _, m := range instances {
		eventually(s.t, fmt.Sprintf("%s has version %d in force", m.name, version), func() bool {
			return int(s.status(m).DocumentVersion) == version
		})
	}
}

// raceSubmissions has two operators at each entry submit different documents on the same base at once, and returns the
// name of the one submission that was accepted.
func (s *system) raceSubmissions(t *testing.T, round, base int) (winner string) {
	t.Helper()
	var work sync.WaitGroup
	var mu sync.Mutex
	for i := range 2 * len(s.instances) {
		work.Go(func() {
			name := fmt.Sprintf("round-%d-operator-%d", round, i)
			out, code := s.submitAs(s.instances[i%len(s.instances)], name, base, s.documentWithWeight(100*round+i+2))
			mu.Lock()
			defer mu.Unlock()
			switch {
			case code == 0 && winner == "":
				winner = name
			case code == 0:
				t.Errorf("%s and %s were both accepted", winner, name)
			case code != exitConflict || !strings.Contains(out, "Weight"):
				t.Errorf("%s: exit code %d without the difference\n%s", name, code, out)
			}
		})
	}
	work.Wait()
	return winner
}

// checkHistory checks that the table and the audit hold each accepted document once, in order.
func (s *system) checkHistory(t *testing.T, winners []string) {
	t.Helper()
	entries := getAsOperator[wire.AuditList](s, s.instances[0], "/v1/document/history").Entries
	if len(entries) != len(winners) {
		t.Fatalf("%d documents were accepted, not %d: %v", len(entries), len(winners), entries)
	}
	for i, e := range entries {
		if e.Why != winners[i] || int(e.DocumentVersion) != i+1 {
			t.Errorf("version %d is %q in the audit, not %q", e.DocumentVersion, e.Why, winners[i])
		}
		answer := getAsOperator[wire.DocumentAnswer](s, s.instances[0], fmt.Sprintf("/v1/document?version=%d", i+1))
		if answer.Why != winners[i] || document.Digest([]byte(answer.Text)) != wire.Digest(e.Subject) {
			t.Errorf("version %d is %q in the table, not %q", i+1, answer.Why, winners[i])
		}
	}
}

// TestConfigurationRacesHaveOneWinner has eight operators submit at once at four entries, for several rounds, in some of
// which the store is slow or loses the answers of its transactions. Exactly one submission of each round may be accepted.
func TestConfigurationRacesHaveOneWinner(t *testing.T) {
	t.Setenv(raceOptionsVariable, raceOptionsNoExitDelay)
	s := newSystem(t, entriesOnlyPlan())
	winners := []string{"proof"}
	for round, fault := range []wire.PlatformFault{{}, {DelayMillis: 100}, {LoseAnswers: true, Paths: []string{"/table/transact"}}, {}} {
		s.post(s.platformAddress, "/fault", fault)
		winners = append(winners, s.raceSubmissions(t, round, len(winners)))
	}
	s.waitVersion(s.instances, len(winners))
	s.checkHistory(t, winners)
}

// TestConfigurationIsAcceptedOnceWhenAnswersAreLost submits a document while the store loses every answer, then only those
// of its transactions. A transaction that committed without an answer must count as accepted, once.
func TestConfigurationIsAcceptedOnceWhenAnswersAreLost(t *testing.T) {
	t.Setenv(raceOptionsVariable, raceOptionsNoExitDelay)
	s := newSystem(t, entriesOnlyPlan())
	s.post(s.platformAddress, "/fault", wire.PlatformFault{LoseAnswers: true})
	type answer struct {
		out  string
		code int
	}
	done := make(chan answer, 1)
	go func() {
		out, code := s.submitAs(s.instances[1], "lost", 1, s.documentWithWeight(7))
		done <- answer{out, code}
	}()
	eventually(t, "the store's answers are lost", func() bool {
		failed := s.instances[1].metric("entry_document_polls_failed_total")
		return failed != "" && failed != "0"
	})
	s.post(s.platformAddress, "/fault", wire.PlatformFault{LoseAnswers: true, Paths: []string{"/table/transact"}})
	if a := <-done; a.code != 0 || !strings.Contains(a.out, "version 2") {
		t.Errorf("exit code %d\n%s", a.code, a.out)
	}
	s.post(s.platformAddress, "/fault", wire.PlatformFault{})
	s.waitVersion(s.instances, 2)
	s.checkHistory(t, []string{"proof", "lost"})
}

// TestConfigurationIsInForceEverywhere measures the time from acceptance until the last of 8 or 24 entries has a version in
// force, as recorded in the entries' logs.
func TestConfigurationIsInForceEverywhere(t *testing.T) {
	const submissions = 10
	for _, entries := range []int{8, 24} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			t.Setenv(raceOptionsVariable, raceOptionsNoExitDelay)
			s := newSystem(t, plan{domains: []string{"a", "b"}, entries: entries / 2, noDuties: true})
			for i := range submissions {
				out, code := s.submitAs(s.instances[i%entries], fmt.Sprintf("submission-%d", i), i+1, s.documentWithWeight(i+2))
				if code != 0 || strings.Contains(out, "not confirmed") {
					t.Errorf("submission %d: exit code %d\n%s", i, code, out)
				}
			}
			s.waitVersion(s.instances, submissions+1)
			took := s.propagationTimes(t)
			slices.Sort(took)
			if len(took) != submissions || took[len(took)-1] > maxPropagation {
				t.Errorf("in force everywhere after %v", took)
			}
			t.Logf("%d entries, %d submissions: in force everywhere after p50 %v, max %v", entries, len(took), took[len(took)/2], took[len(took)-1])
		})
	}
}

// propagationTimes returns, for each version but the first, the time from its acceptance until it was in force at every entry.
func (s *system) propagationTimes(t *testing.T) []time.Duration {
	t.Helper()
	last := map[wire.DocumentVersion]time.Time{}
	for _, m := range s.instances {
		for _, line := range inForceLines(t, m) {
			if line.Time.After(last[line.Version]) {
				last[line.Version] = line.Time
			}
		}
	}
	var took []time.Duration
	for _, e := range getAsOperator[wire.AuditList](s, s.instances[0], "/v1/document/history").Entries[1:] {
		took = append(took, last[e.DocumentVersion].Sub(e.At).Round(time.Millisecond))
	}
	return took
}

// inForceLine is the log line that an entry writes when it applies a version.
type inForceLine struct {
	Time    time.Time
	Message string `json:"message"`
	Version wire.DocumentVersion
}

func inForceLines(t *testing.T, m *instance) []inForceLine {
	t.Helper()
	f, err := os.Open(m.entry.logFile)
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

package proof

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// How callers leave.
const (
	// longAnswer and failAfter are in tokens.
	longAnswer = 400
	failAfter  = 50
	leaveAfter = 50 * time.Millisecond
)

// leaveStream reads some tokens of a stream, leaves, and returns how many it read.
func (s *system) leaveStream(t *testing.T, key string, tokens int) int {
	t.Helper()
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	c := newCaller(key)
	r, err := c.request(http.MethodPost, s.members[0].address, "/v1/chat/completions", chatBody("a long itinerary", longAnswer, true), nil)
	if err != nil {
		t.Fatal(err)
	}
	answer, err := c.http.Do(r.WithContext(ctx))
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	var res result
	lines := bufio.NewScanner(answer.Body)
	for len(res.tokens) < tokens && lines.Scan() {
		if data, found := strings.CutPrefix(lines.Text(), "data: "); found {
			res.addToken([]byte(data))
		}
	}
	leave()
	s.awaitGone(t, s.members[0], 1)
	return len(res.tokens)
}

// leavePlain leaves in the midst of a plain answer.
func (s *system) leavePlain(t *testing.T, key string) {
	t.Helper()
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	before := len(s.engineRuns())
	c := newCaller(key)
	r, err := c.request(http.MethodPost, s.members[0].address, "/v1/chat/completions", chatBody("a plain itinerary", longAnswer, false), nil)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() {
		answer, err := c.http.Do(r.WithContext(ctx))
		if err == nil {
			answer.Body.Close()
		}
		done <- err
	}()
	eventually(t, "an engine runs the request", func() bool { return len(s.engineRuns()) > before })
	<-time.After(leaveAfter)
	leave()
	if err := <-done; err == nil {
		t.Fatal("the plain answer came before its caller left")
	}
	s.awaitGone(t, s.members[0], 2)
}

// failStream takes every engine away in the midst of a stream.
func (s *system) failStream(t *testing.T, key string) {
	t.Helper()
	res := newCaller(key).stream(s.members[0].address, "a doomed itinerary", longAnswer, func(n int) {
		if n == failAfter {
			for _, e := range s.engines {
				e.process.kill()
			}
		}
	})
	if res.whole || len(res.tokens) < failAfter {
		t.Errorf("whole %v, %d tokens", res.whole, len(res.tokens))
	}
}

// awaitGone waits until an entry noticed that so many callers left.
func (s *system) awaitGone(t *testing.T, m *member, callers float64) {
	t.Helper()
	eventually(t, m.name+" noticed that its callers left", func() bool {
		return s.metric(m, `entry_answers_total{outcome="caller_gone"}`) == callers
	})
}

// metric reads one of an entry's metrics; a missing one is zero.
func (s *system) metric(m *member, name string) float64 {
	answer, err := http.Get("http://" + m.operations + "/metrics")
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	data, _ := io.ReadAll(answer.Body)
	for line := range strings.Lines(string(data)) {
		if text, found := strings.CutPrefix(line, name+" "); found {
			n, _ := strconv.ParseFloat(strings.TrimSpace(text), 64)
			return n
		}
	}
	return 0
}

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

// Lengths of the answers and when callers disconnect or engines fail.
const (
	longAnswerTokens    = 400
	tokensBeforeFailure = 50
	disconnectDelay     = 50 * time.Millisecond
)

// disconnectDuringStream reads at least so many tokens of a stream, disconnects, and returns how many it has read.
func (s *system) disconnectDuringStream(t *testing.T, key string, tokens int) int {
	t.Helper()
	ctx, disconnect := context.WithCancel(t.Context())
	defer disconnect()
	c := newCaller(key)
	r, err := c.request(http.MethodPost, s.instances[0].address, "/v1/chat/completions", chatBody("a long itinerary", longAnswerTokens, true), nil)
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
	disconnect()
	s.waitDisconnects(t, s.instances[0], 1)
	return len(res.tokens)
}

// disconnectDuringPlainAnswer disconnects while an answer that is not streamed is being generated.
func (s *system) disconnectDuringPlainAnswer(t *testing.T, key string) {
	t.Helper()
	ctx, disconnect := context.WithCancel(t.Context())
	defer disconnect()
	before := len(s.engineRuns())
	c := newCaller(key)
	r, err := c.request(http.MethodPost, s.instances[0].address, "/v1/chat/completions", chatBody("a plain itinerary", longAnswerTokens, false), nil)
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
	<-time.After(disconnectDelay)
	disconnect()
	if err := <-done; err == nil {
		t.Fatal("the plain answer came before its caller disconnected")
	}
	s.waitDisconnects(t, s.instances[0], 2)
}

// killEnginesDuringStream kills every engine in the middle of a stream.
func (s *system) killEnginesDuringStream(t *testing.T, key string) {
	t.Helper()
	res := newCaller(key).stream(s.instances[0].address, "a doomed itinerary", longAnswerTokens, func(n int) {
		if n == tokensBeforeFailure {
			for _, e := range s.engines {
				e.process.kill()
			}
		}
	})
	if res.complete || len(res.tokens) < tokensBeforeFailure {
		t.Errorf("complete %v, %d tokens", res.complete, len(res.tokens))
	}
}

// waitDisconnects waits until an entry has counted so many callers that disconnected.
func (s *system) waitDisconnects(t *testing.T, m *instance, callers float64) {
	t.Helper()
	eventually(t, m.name+" counts its disconnected callers", func() bool {
		return s.metricValue(m, `entry_answers_total{outcome="caller_gone"}`) == callers
	})
}

// metricValue reads one of an entry's metrics; a missing one is zero.
func (s *system) metricValue(m *instance, name string) float64 {
	answer, err := http.Get("http://" + m.operationsAddress + "/metrics")
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

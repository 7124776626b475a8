package proof

import (
	"fmt"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// maxPropagation is the stated target for the time until an accepted change is in force everywhere.
const maxPropagation = 7 * time.Second

// A program built with the race detector sleeps for a second before it exits, which would add to the time of a submission.
const (
	raceOptionsVariable    = "GORACE"
	raceOptionsNoExitDelay = "atexit_sleep_ms=0"
)

// keepAliveInterval is the time between two requests of a caller on one connection.
const keepAliveInterval = 50 * time.Millisecond

// twoDomainPlan is two failure domains with two entries each. The test lists the endpoints itself, so no instance has to
// hold a lease.
func twoDomainPlan() plan {
	p := smallPlan()
	p.domains = []string{"a", "b"}
	p.engines = 2
	return p
}

// keepAliveCaller sends requests to one entry over one connection until it is stopped.
type keepAliveCaller struct {
	m      *instance
	caller *caller
	// call builds the n-th request.
	call       func(c *caller, address string, n int) (*http.Request, error)
	stopping   chan struct{}
	done       chan struct{}
	conns      atomic.Int64
	mu         sync.Mutex
	served     int
	refused    int
	unexpected []string
	// lastServed is the time of the last success, firstRefused that of the first refusal.
	lastServed, firstRefused time.Time
}

// startKeepAliveCallers starts a caller for each of some entries, with their requests spread evenly over the interval.
func startKeepAliveCallers(instances []*instance, key string, call func(c *caller, address string, n int) (*http.Request, error)) []*keepAliveCaller {
	var list []*keepAliveCaller
	for i, m := range instances {
		k := &keepAliveCaller{m: m, caller: newCaller(key), call: call, stopping: make(chan struct{}), done: make(chan struct{})}
		go k.run(keepAliveInterval * time.Duration(i) / time.Duration(len(instances)))
		list = append(list, k)
	}
	return list
}

// requestOneToken builds a request for one token of the model.
func requestOneToken(c *caller, address string, n int) (*http.Request, error) {
	return c.request(http.MethodPost, address, "/v1/chat/completions", chatBody(fmt.Sprintf("kept %d", n), 1, false), nil)
}

// listModels builds a request that the entry answers by itself, so that its latency depends on no endpoint, peer or table.
func listModels(c *caller, address string, _ int) (*http.Request, error) {
	return c.request(http.MethodGet, address, "/v1/models", "", nil)
}

func (k *keepAliveCaller) run(startDelay time.Duration) {
	defer close(k.done)
	<-time.After(startDelay)
	tick := time.NewTicker(keepAliveInterval)
	defer tick.Stop()
	for n := 0; ; n++ {
		k.record(k.sendOne(n))
		select {
		case <-tick.C:
		case <-k.stopping:
			return
		}
	}
}

func (k *keepAliveCaller) sendOne(n int) result {
	r, err := k.call(k.caller, k.m.address, n)
	if err != nil {
		return result{err: err}
	}
	trace := &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) {
		if !c.Reused {
			k.conns.Add(1)
		}
	}}
	return k.caller.send(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}

func (k *keepAliveCaller) record(res result) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case res.status == http.StatusOK:
		k.served++
		k.lastServed = time.Now()
	case res.status == http.StatusUnauthorized && res.outcome == "NotRun":
		k.refused++
		if k.firstRefused.IsZero() {
			k.firstRefused = time.Now()
		}
	default:
		k.unexpected = append(k.unexpected, fmt.Sprintf("%d %q %s %v", res.status, res.outcome, res.body, res.err))
	}
}

func (k *keepAliveCaller) counts() (served, refused int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.served, k.refused
}

// stop stops the caller and checks that it used one connection and got nothing but successes and refusals.
func (k *keepAliveCaller) stop(t *testing.T) {
	t.Helper()
	close(k.stopping)
	<-k.done
	if n := k.conns.Load(); n != 1 {
		t.Errorf("%s: the caller used %d connections", k.m.name, n)
	}
	if len(k.unexpected) > 0 {
		t.Errorf("%s: %d unexpected answers, the first: %s", k.m.name, len(k.unexpected), k.unexpected[0])
	}
}

// TestKeyWithdrawnIsRefusedEverywhere withdraws a key while callers use it on open connections at every entry and while a
// stream is in progress at each. Every entry must refuse the key within maxPropagation and not accept it again, and the
// streams must still be completed.
func TestKeyWithdrawnIsRefusedEverywhere(t *testing.T) {
	t.Setenv(raceOptionsVariable, raceOptionsNoExitDelay)
	s := newReadySystem(t, twoDomainPlan())
	callers := startKeepAliveCallers(s.instances, testKey, requestOneToken)
	streams := s.startStreams(t, 1500)
	for _, k := range callers {
		eventually(t, k.m.name+" serves the key", func() bool { n, _ := k.counts(); return n >= 5 })
	}
	started := time.Now()
	out, code := s.operate(s.instances[0], "key", "withdraw", "--workspace", testWorkspace, "--label", "proof", "--why", "key lost")
	answered := time.Now()
	if code != 0 || strings.Contains(out, "not confirmed") {
		t.Fatalf("withdraw: exit code %d\n%s", code, out)
	}
	for _, k := range callers {
		eventually(t, k.m.name+" refuses the key", func() bool { _, n := k.counts(); return n >= 20 })
	}
	for _, k := range callers {
		k.stop(t)
		if k.lastServed.After(k.firstRefused) {
			t.Errorf("%s served the key %v after it had refused it", k.m.name, k.lastServed.Sub(k.firstRefused))
		}
	}
	last := lastSuccess(callers)
	if took := last.Sub(started); took > maxPropagation {
		t.Errorf("the key worked for %v after the withdrawal began", took)
	}
	t.Logf("withdrawn: submit took %v; last success %v after its start, %v after its answer", answered.Sub(started), last.Sub(started), last.Sub(answered))
	streams.finish(t, last)
}

// TestKeyIssuedWorksEverywhere issues a key and measures the time until every entry serves it.
func TestKeyIssuedWorksEverywhere(t *testing.T) {
	t.Setenv(raceOptionsVariable, raceOptionsNoExitDelay)
	s := newReadySystem(t, twoDomainPlan())
	started := time.Now()
	out, code := s.operate(s.instances[3], "key", "issue", "--workspace", testWorkspace, "--label", "kiosk", "--why", "kiosk in the foyer")
	answered := time.Now()
	if code != 0 {
		t.Fatalf("issue: exit code %d\n%s", code, out)
	}
	key, _, _ := strings.Cut(out[strings.Index(out, "csh_"):], "\n")
	var last time.Time
	for _, m := range s.instances {
		eventually(t, m.name+" serves the issued key", func() bool {
			return newCaller(key).chat(m.address, "kiosk", 1).status == http.StatusOK
		})
		last = time.Now()
	}
	if took := last.Sub(started); took > maxPropagation {
		t.Errorf("the key worked everywhere only %v after it was issued", took)
	}
	t.Logf("issued: submit took %v; served everywhere %v after its start, %v after its answer", answered.Sub(started), last.Sub(started), last.Sub(answered))
}

// streams are long streamed answers in progress, one at each entry.
type streams struct {
	work    sync.WaitGroup
	mu      sync.Mutex
	tokens  int
	results map[string]result
	endedAt map[string]time.Time
}

// startStreams starts a stream at each entry and returns once each has delivered a token.
func (s *system) startStreams(t *testing.T, tokens int) *streams {
	t.Helper()
	all := &streams{tokens: tokens, results: map[string]result{}, endedAt: map[string]time.Time{}}
	var started atomic.Int64
	for _, m := range s.instances {
		all.work.Go(func() {
			res := newCaller(testKey).stream(m.address, "a long itinerary", tokens, func(n int) {
				if n == 1 {
					started.Add(1)
				}
			})
			all.mu.Lock()
			defer all.mu.Unlock()
			all.results[m.name], all.endedAt[m.name] = res, time.Now()
		})
	}
	eventually(t, "every entry streams", func() bool { return started.Load() == int64(len(s.instances)) })
	return all
}

// finish checks that every stream was complete and ended after the given time.
func (all *streams) finish(t *testing.T, after time.Time) {
	t.Helper()
	all.work.Wait()
	for name, res := range all.results {
		if !res.complete || len(res.tokens) != all.tokens {
			t.Errorf("%s: the stream in progress was truncated: complete %v, %d tokens, %v", name, res.complete, len(res.tokens), res.err)
		}
		if !all.endedAt[name].After(after) {
			t.Errorf("%s: the stream ended %v before the key was refused, so the test shows nothing", name, after.Sub(all.endedAt[name]))
		}
	}
}

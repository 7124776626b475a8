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

// inForceWithin is the stated target for an accepted change to be in force everywhere.
const inForceWithin = 7 * time.Second

// A program built with the race detector sleeps a second before it exits, which would count into a submission's time.
const (
	exitAtOnce      = "GORACE"
	exitAtOnceValue = "atexit_sleep_ms=0"
)

// keptEvery is the pause between two requests of a caller on a kept connection.
const keptEvery = 50 * time.Millisecond

// twoDomains is two failure domains with two entries each and endpoints that need no holder of a lease.
func twoDomains() plan {
	p := small()
	p.domains = []string{"a", "b"}
	p.engines = 2
	return p
}

// keptCaller sends requests to one entry over one kept connection until it is ended.
type keptCaller struct {
	m      *member
	caller *caller
	// call makes a request from the caller; n counts them.
	call    func(c *caller, address string, n int) (*http.Request, error)
	end     chan struct{}
	done    chan struct{}
	conns   atomic.Int64
	mu      sync.Mutex
	served  int
	refused int
	odd     []string
	// last and first are when the last success and the first refusal came.
	last, first time.Time
}

// keepCalling starts a kept caller at each of some entries, spread over the pause between two requests.
func keepCalling(members []*member, key string, call func(c *caller, address string, n int) (*http.Request, error)) []*keptCaller {
	var list []*keptCaller
	for i, m := range members {
		k := &keptCaller{m: m, caller: newCaller(key), call: call, end: make(chan struct{}), done: make(chan struct{})}
		go k.run(keptEvery * time.Duration(i) / time.Duration(len(members)))
		list = append(list, k)
	}
	return list
}

// askModel asks the model for one token.
func askModel(c *caller, address string, n int) (*http.Request, error) {
	return c.request(http.MethodPost, address, "/v1/chat/completions", chatBody(fmt.Sprintf("kept %d", n), 1, false), nil)
}

// listModels asks only the entry, so that its speed depends on no endpoint, peer or table.
func listModels(c *caller, address string, _ int) (*http.Request, error) {
	return c.request(http.MethodGet, address, "/v1/models", "", nil)
}

func (k *keptCaller) run(phase time.Duration) {
	defer close(k.done)
	<-time.After(phase)
	tick := time.NewTicker(keptEvery)
	defer tick.Stop()
	for n := 0; ; n++ {
		k.note(k.once(n))
		select {
		case <-tick.C:
		case <-k.end:
			return
		}
	}
}

func (k *keptCaller) once(n int) result {
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

func (k *keptCaller) note(res result) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case res.status == http.StatusOK:
		k.served++
		k.last = time.Now()
	case res.status == http.StatusUnauthorized && res.outcome == "NotRun":
		k.refused++
		if k.first.IsZero() {
			k.first = time.Now()
		}
	default:
		k.odd = append(k.odd, fmt.Sprintf("%d %q %s %v", res.status, res.outcome, res.body, res.err))
	}
}

func (k *keptCaller) counts() (served, refused int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.served, k.refused
}

// stop ends the caller and demands that it kept one connection and got nothing but successes and refusals.
func (k *keptCaller) stop(t *testing.T) {
	t.Helper()
	close(k.end)
	<-k.done
	if n := k.conns.Load(); n != 1 {
		t.Errorf("%s: the caller used %d connections", k.m.name, n)
	}
	if len(k.odd) > 0 {
		t.Errorf("%s: %d odd answers, the first %s", k.m.name, len(k.odd), k.odd[0])
	}
}

// TestKeyWithdrawnIsRefusedEverywhere withdraws a key while callers use it on kept connections at every entry and while a
// stream is in progress at each.
func TestKeyWithdrawnIsRefusedEverywhere(t *testing.T) {
	t.Setenv(exitAtOnce, exitAtOnceValue)
	s := newSmall(t, twoDomains())
	callers := keepCalling(s.members, testKey, askModel)
	streams := s.startStreams(t, 1500)
	for _, k := range callers {
		eventually(t, k.m.name+" serves the key", func() bool { n, _ := k.counts(); return n >= 5 })
	}
	begun := time.Now()
	out, code := s.operate(s.members[0], "key", "withdraw", "--workspace", testWorkspace, "--label", "proof", "--why", "key lost")
	answered := time.Now()
	if code != 0 || strings.Contains(out, "not confirmed") {
		t.Fatalf("withdraw: exit code %d\n%s", code, out)
	}
	for _, k := range callers {
		eventually(t, k.m.name+" refuses the key", func() bool { _, n := k.counts(); return n >= 20 })
	}
	for _, k := range callers {
		k.stop(t)
		if k.last.After(k.first) {
			t.Errorf("%s served the key %v after it had refused it", k.m.name, k.last.Sub(k.first))
		}
	}
	last := lastSuccess(callers)
	if took := last.Sub(begun); took > inForceWithin {
		t.Errorf("the key worked for %v after the withdrawal began", took)
	}
	t.Logf("withdrawn: submit took %v; last success %v after its start, %v after its answer", answered.Sub(begun), last.Sub(begun), last.Sub(answered))
	streams.finish(t, last)
}

// TestKeyIssuedWorksEverywhere issues a key and measures until every entry serves it.
func TestKeyIssuedWorksEverywhere(t *testing.T) {
	t.Setenv(exitAtOnce, exitAtOnceValue)
	s := newSmall(t, twoDomains())
	begun := time.Now()
	out, code := s.operate(s.members[3], "key", "issue", "--workspace", testWorkspace, "--label", "kiosk", "--why", "kiosk in the foyer")
	answered := time.Now()
	if code != 0 {
		t.Fatalf("issue: exit code %d\n%s", code, out)
	}
	key, _, _ := strings.Cut(out[strings.Index(out, "csh_"):], "\n")
	var last time.Time
	for _, m := range s.members {
		eventually(t, m.name+" serves the issued key", func() bool {
			return newCaller(key).chat(m.address, "kiosk", 1).status == http.StatusOK
		})
		last = time.Now()
	}
	if took := last.Sub(begun); took > inForceWithin {
		t.Errorf("the key worked everywhere only %v after it was issued", took)
	}
	t.Logf("issued: submit took %v; served everywhere %v after its start, %v after its answer", answered.Sub(begun), last.Sub(begun), last.Sub(answered))
}

// streams are long answers in progress, one at each entry.
type streams struct {
	work sync.WaitGroup
	mu   sync.Mutex
	size int
	got  map[string]result
	at   map[string]time.Time
}

// startStreams starts a stream at each entry and returns once each has given a token.
func (s *system) startStreams(t *testing.T, tokens int) *streams {
	t.Helper()
	all := &streams{size: tokens, got: map[string]result{}, at: map[string]time.Time{}}
	var begun atomic.Int64
	for _, m := range s.members {
		all.work.Go(func() {
			res := newCaller(testKey).stream(m.address, "a long itinerary", tokens, func(n int) {
				if n == 1 {
					begun.Add(1)
				}
			})
			all.mu.Lock()
			defer all.mu.Unlock()
			all.got[m.name], all.at[m.name] = res, time.Now()
		})
	}
	eventually(t, "every entry streams", func() bool { return begun.Load() == int64(len(s.members)) })
	return all
}

// finish demands that every stream was whole and ended only after a time.
func (all *streams) finish(t *testing.T, after time.Time) {
	t.Helper()
	all.work.Wait()
	for name, res := range all.got {
		if !res.whole || len(res.tokens) != all.size {
			t.Errorf("%s: the stream in progress was cut: whole %v, %d tokens, %v", name, res.whole, len(res.tokens), res.err)
		}
		if !all.at[name].After(after) {
			t.Errorf("%s: the stream ended %v before the key was refused: it proves nothing", name, after.Sub(all.at[name]))
		}
	}
}

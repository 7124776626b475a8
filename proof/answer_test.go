package proof

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"cowslipshunt.example/wire"
)

const loadedEngine = "Model = \"itinerary\"\nModelVersion = \"1\"\nDecodeMicrosPerToken = 2000\n"

// small is one domain with two entries and endpoints that need no holder of a lease.
func small() plan {
	return plan{domains: []string{"a"}, entries: 2, engines: 3, services: 1, engineSettings: loadedEngine, noDuties: true}
}

// newSmall starts a small system whose endpoints are all ready.
func newSmall(t *testing.T, p plan) *system {
	s := newSystem(t, p)
	for _, domain := range p.domains {
		startHolder(t, s, domain)
	}
	s.serveFully()
	return s
}

// expected returns the answer that an engine gives when nothing fails.
func expected(t *testing.T, e *backend, prompt string, tokens int) string {
	t.Helper()
	res := newCaller("").chat(e.address, prompt, tokens)
	if res.status != http.StatusOK {
		t.Fatalf("the engine itself answered %d: %s", res.status, res.body)
	}
	return res.body
}

// TestAnswersAreWholeThoughEnginesFail lets engines crash, stall and cross answers in the midst of streams, and demands
// that each caller gets every token of its own answer once, or an answer that cannot be taken for a whole one.
func TestAnswersAreWholeThoughEnginesFail(t *testing.T) {
	p := small()
	p.entrySettings = "StallMillis = 1000\n"
	s := newSmall(t, p)
	faults := map[string]wire.EngineFault{
		"crash":   {CrashAfterTokens: 5, Once: true},
		"stall":   {StallAfterTokens: 7, Once: true},
		"crossed": {WrongAttempt: true, Once: true},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			want := map[string]string{}
			for i := range 8 {
				prompt := fmt.Sprintf("%s route %d to hall four", name, i)
				want[prompt] = expected(t, s.engines[0], prompt, 20)
			}
			for _, e := range s.engines[:2] {
				s.post(e.address, "/fault", fault)
			}
			checkStreams(t, s, want)
		})
	}
}

func checkStreams(t *testing.T, s *system, want map[string]string) {
	var work sync.WaitGroup
	for prompt, text := range want {
		work.Go(func() {
			res := newCaller(testKey).stream(s.members[0].address, prompt, 20, nil)
			if !res.whole || res.body != text {
				t.Errorf("%q: whole %v, status %d, err %v\ngot  %q\nwant %q", prompt, res.whole, res.status, res.err, res.body, text)
			}
		})
	}
	work.Wait()
}

// TestKilledEngineCutsNoAnswer kills an engine with streams in progress.
func TestKilledEngineCutsNoAnswer(t *testing.T) {
	s := newSmall(t, small())
	want := expected(t, s.engines[0], "a long itinerary", 60)
	var work sync.WaitGroup
	var once sync.Once
	for range 12 {
		work.Go(func() {
			res := newCaller(testKey).stream(s.members[0].address, "a long itinerary", 60, func(n int) {
				if n == 10 {
					once.Do(s.engines[0].process.kill)
				}
			})
			if !res.whole || res.body != want {
				t.Errorf("whole %v, err %v, %d tokens", res.whole, res.err, len(res.tokens))
			}
		})
	}
	work.Wait()
}

// TestCutAnswerIsNotWhole takes every engine away in the midst of a stream.
func TestCutAnswerIsNotWhole(t *testing.T) {
	s := newSmall(t, small())
	res := newCaller(testKey).stream(s.members[0].address, "a long itinerary", 500, func(n int) {
		if n == 10 {
			for _, e := range s.engines {
				e.process.kill()
			}
		}
	})
	if res.whole || res.err == nil {
		t.Errorf("a cut answer ended like a whole one: whole %v, err %v, %d tokens", res.whole, res.err, len(res.tokens))
	}
	// The proxies in front of the dead engines take connections and close them, so the entry cannot know more than this.
	res = newCaller(testKey).chat(s.members[0].address, "another", 5)
	if res.status < http.StatusInternalServerError || res.outcome != "Unknown" {
		t.Errorf("with no engine: status %d, outcome %q", res.status, res.outcome)
	}
}

// TestNotRunIsTrue refuses requests for many reasons and demands that no engine ran one that was said not to have run.
func TestNotRunIsTrue(t *testing.T) {
	p := small()
	p.engines = 1
	p.entrySettings = "QueueMillis = 300\nStallMillis = 500\nMaxRequests = 24\n"
	p.engineSettings = loadedEngine + "MaxRunning = 2\nMaxWaiting = 2\n"
	s := newSmall(t, p)
	s.post(s.engines[0].address, "/fault", wire.EngineFault{StallAfterTokens: 3})
	refused := make(chan result, 64)
	var work sync.WaitGroup
	for i := range cap(refused) {
		work.Go(func() {
			res := newCaller(testKey).chat(s.members[i%2].address, fmt.Sprintf("request %d", i), 20)
			if res.status != http.StatusOK {
				refused <- res
			}
		})
	}
	work.Wait()
	close(refused)
	ran := map[string]bool{}
	for _, r := range s.engineRuns() {
		ran[string(r.Request)] = true
	}
	count := map[string]int{}
	for res := range refused {
		count[res.outcome]++
		if res.outcome == "NotRun" && res.request != "" && ran[res.request] {
			t.Errorf("request %s was said not to have run, and ran: %s", res.request, res.body)
		}
		if res.outcome == "" {
			t.Errorf("a refusal without an outcome: %d %q %v", res.status, res.body, res.err)
		}
	}
	if count["NotRun"] == 0 || count["Unknown"] == 0 {
		t.Errorf("the test did not bring about both outcomes: %v", count)
	}
}

// TestEndpointsNeverSeeTheKey puts the key and forged headers wherever a caller can, and looks for them in all that the
// endpoints received.
func TestEndpointsNeverSeeTheKey(t *testing.T) {
	s := newSmall(t, small())
	header := http.Header{
		"X-Api-Key": {testKey}, "Cookie": {"session=" + testKey + "; theme=dark"}, "X-Trace": {"before " + testKey},
		"Workspace": {otherSpace}, "Request-Id": {"forged"}, "Attempt": {"99"}, "Content-Type": {"application/json"},
	}
	c := newCaller(testKey)
	path := "/services/" + testService + "/bookings/x?key=" + testKey + "&page=2"
	if res := c.call(http.MethodGet, s.members[0].address, path, "", header); res.status >= http.StatusInternalServerError || res.err != nil {
		t.Errorf("service: %d %s %v", res.status, res.body, res.err)
	}
	if res := c.call(http.MethodPost, s.members[0].address, "/v1/chat/completions?k="+testKey, chatBody("hello", 3, false), header); res.status != http.StatusOK {
		t.Errorf("chat: %d %s", res.status, res.body)
	}
	if res := c.call(http.MethodPost, s.members[0].address, "/v1/chat/completions", chatBody("my key is "+testKey, 3, false), nil); res.outcome != "NotRun" {
		t.Errorf("a body with the key: %d %q", res.status, res.outcome)
	}
	received := fmt.Sprint(s.engineRuns(), get[wire.ServiceReceivedList](s.services[0].address, "/received"))
	for _, secret := range []string{testKey, strings.TrimPrefix(testKey, "csh_"), "forged", otherSpace} {
		if strings.Contains(received, secret) {
			t.Errorf("an endpoint saw %q", secret)
		}
	}
	if !strings.Contains(received, "theme=dark") || !strings.Contains(received, testWorkspace) {
		t.Errorf("an endpoint did not get what it should: %s", received)
	}
}

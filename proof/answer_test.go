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

// smallPlan is one domain with two entries. The test lists the endpoints itself, so no instance has to hold a lease.
func smallPlan() plan {
	return plan{domains: []string{"a"}, entries: 2, engines: 3, services: 1, engineSettings: loadedEngine, noDuties: true}
}

// newReadySystem starts a system, lists the endpoints of every domain, and waits until all of them are ready.
func newReadySystem(t *testing.T, p plan) *system {
	s := newSystem(t, p)
	for _, domain := range p.domains {
		startLeaseHolder(t, s, domain)
	}
	s.waitEndpointsReady()
	return s
}

// expectedAnswer returns the answer that an engine gives when nothing fails.
func expectedAnswer(t *testing.T, e *endpoint, prompt string, tokens int) string {
	t.Helper()
	res := newCaller("").chat(e.address, prompt, tokens)
	if res.status != http.StatusOK {
		t.Fatalf("a direct request to the engine was answered %d: %s", res.status, res.body)
	}
	return res.body
}

// TestAnswersStayCompleteWhenEnginesFail makes engines crash, stall or send another request's answer in the middle of
// streams. Each caller must still get every token of its own answer exactly once.
func TestAnswersStayCompleteWhenEnginesFail(t *testing.T) {
	p := smallPlan()
	p.entrySettings = "StallMillis = 1000\n"
	s := newReadySystem(t, p)
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
				want[prompt] = expectedAnswer(t, s.engines[0], prompt, 20)
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
			res := newCaller(testKey).stream(s.instances[0].address, prompt, 20, nil)
			if !res.complete || res.body != text {
				t.Errorf("%q: complete %v, status %d, err %v\ngot  %q\nwant %q", prompt, res.complete, res.status, res.err, res.body, text)
			}
		})
	}
	work.Wait()
}

// TestKilledEngineDoesNotCutAnswers kills an engine while streams are in progress. The entry must resume its streams at
// another engine, so that every answer is complete.
func TestKilledEngineDoesNotCutAnswers(t *testing.T) {
	s := newReadySystem(t, smallPlan())
	want := expectedAnswer(t, s.engines[0], "a long itinerary", 60)
	var work sync.WaitGroup
	var once sync.Once
	for range 12 {
		work.Go(func() {
			res := newCaller(testKey).stream(s.instances[0].address, "a long itinerary", 60, func(n int) {
				if n == 10 {
					once.Do(s.engines[0].process.kill)
				}
			})
			if !res.complete || res.body != want {
				t.Errorf("complete %v, err %v, %d tokens", res.complete, res.err, len(res.tokens))
			}
		})
	}
	work.Wait()
}

// TestCutAnswerIsNotReportedComplete kills every engine in the middle of a stream, so that no engine can resume it. The
// truncated answer must not end like a complete one.
func TestCutAnswerIsNotReportedComplete(t *testing.T) {
	s := newReadySystem(t, smallPlan())
	res := newCaller(testKey).stream(s.instances[0].address, "a long itinerary", 500, func(n int) {
		if n == 10 {
			for _, e := range s.engines {
				e.process.kill()
			}
		}
	})
	if res.complete || res.err == nil {
		t.Errorf("a truncated answer ended like a complete one: complete %v, err %v, %d tokens", res.complete, res.err, len(res.tokens))
	}
	// The proxies in front of the killed engines accept connections and close them, so the entry cannot tell whether a request ran.
	res = newCaller(testKey).chat(s.instances[0].address, "another", 5)
	if res.status < http.StatusInternalServerError || res.outcome != "Unknown" {
		t.Errorf("without engines: status %d, outcome %q", res.status, res.outcome)
	}
}

// TestNotRunRequestsNeverRan overloads an entry and a stalled engine, so that requests are refused for several reasons. No
// engine may have run a request that was answered NotRun. There is no engine to take over from the stalled one, so its requests end after
// WholeMillis.
func TestNotRunRequestsNeverRan(t *testing.T) {
	p := smallPlan()
	p.engines = 1
	p.entrySettings = "QueueMillis = 300\nStallMillis = 500\nWholeMillis = 3000\nMaxRequests = 24\n"
	p.engineSettings = loadedEngine + "MaxRunning = 2\nMaxWaiting = 2\n"
	s := newReadySystem(t, p)
	s.post(s.engines[0].address, "/fault", wire.EngineFault{StallAfterTokens: 3})
	refused := make(chan result, 64)
	var work sync.WaitGroup
	for i := range cap(refused) {
		work.Go(func() {
			res := newCaller(testKey).chat(s.instances[i%2].address, fmt.Sprintf("request %d", i), 20)
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
		if res.outcome == "NotRun" && res.requestID != "" && ran[res.requestID] {
			t.Errorf("request %s was answered NotRun but ran: %s", res.requestID, res.body)
		}
		if res.outcome == "" {
			t.Errorf("a refusal without an outcome: %d %q %v", res.status, res.body, res.err)
		}
	}
	if count["NotRun"] == 0 || count["Unknown"] == 0 {
		t.Errorf("the test did not produce both outcomes: %v", count)
	}
}

// TestEndpointsNeverReceiveTheKey puts the key and forged headers into every part of a request that a caller controls, and
// searches everything that the endpoints received for them.
func TestEndpointsNeverReceiveTheKey(t *testing.T) {
	s := newReadySystem(t, smallPlan())
	header := http.Header{
		"X-Api-Key": {testKey}, "Cookie": {"session=" + testKey + "; theme=dark"}, "X-Trace": {"before " + testKey},
		"Workspace": {otherWorkspace}, "Request-Id": {"forged"}, "Attempt": {"99"}, "Content-Type": {"application/json"},
	}
	c := newCaller(testKey)
	path := "/services/" + testService + "/bookings/x?key=" + testKey + "&page=2"
	if res := c.call(http.MethodGet, s.instances[0].address, path, "", header); res.status >= http.StatusInternalServerError || res.err != nil {
		t.Errorf("service: %d %s %v", res.status, res.body, res.err)
	}
	if res := c.call(http.MethodPost, s.instances[0].address, "/v1/chat/completions?k="+testKey, chatBody("hello", 3, false), header); res.status != http.StatusOK {
		t.Errorf("chat: %d %s", res.status, res.body)
	}
	if res := c.call(http.MethodPost, s.instances[0].address, "/v1/chat/completions", chatBody("my key is "+testKey, 3, false), nil); res.outcome != "NotRun" {
		t.Errorf("a body with the key: %d %q", res.status, res.outcome)
	}
	received := fmt.Sprint(s.engineRuns(), get[wire.ServiceReceivedList](s.services[0].address, "/received"))
	for _, secret := range []string{testKey, strings.TrimPrefix(testKey, "csh_"), "forged", otherWorkspace} {
		if strings.Contains(received, secret) {
			t.Errorf("an endpoint received %q", secret)
		}
	}
	if !strings.Contains(received, "theme=dark") || !strings.Contains(received, testWorkspace) {
		t.Errorf("an endpoint did not receive the allowed cookie or the workspace: %s", received)
	}
}

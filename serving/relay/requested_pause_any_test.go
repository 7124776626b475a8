package relay_test

import (
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
	"pgregory.net/rapid"
)

// TestNoRequestReachesAnEndpointInAPause sends requests of each kind while endpoints ask for pauses in any answer, time passes during the
// wait for connections, and successes, rows and reports of peers arrive. Nothing may be written to an incarnation in a pause that it asked
// for.
func TestNoRequestReachesAnEndpointInAPause(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &gatedSender{mu: &sync.Mutex{}}
		h := newGatedHarness(s)
		until := map[roster.Key]time.Time{}
		var ids []wire.EndpointId
		for id := range h.directory.View().All() {
			ids = append(ids, id)
		}
		slices.SortFunc(ids, func(a, b wire.EndpointId) int { return strings.Compare(string(a), string(b)) })
		ask := func(e *roster.Endpoint, d time.Duration) {
			if end := h.clock.Now().Add(d); end.After(until[e.Entry().Key]) {
				until[e.Entry().Key] = end
			}
		}
		// awaitNote waits until the pause that an endpoint asked for in an answer to another send, which has just ended, is known here.
		awaitNote := func(e *roster.Endpoint) {
			deadline := time.Now().Add(time.Second)
			for until[e.Entry().Key].After(h.clock.Now()) && time.Now().Before(deadline) {
				if _, noted := e.PauseRequested(h.clock.Now()); noted {
					return
				}
				runtime.Gosched()
			}
		}
		depth := 0
		s.connect = func(to *roster.Endpoint, a *relay.Attempt) {
			defer func() {
				awaitNote(to)
				if a.Source != nil {
					awaitNote(a.Source.Endpoint)
				}
			}()
			e := h.directory.View().All()[rapid.SampledFrom(ids).Draw(rt, "id")]
			entry := *e.Entry()
			switch rapid.IntRange(0, 7).Draw(rt, "change") {
			case 0:
				d := time.Duration(rapid.IntRange(1, 3000).Draw(rt, "pause")) * time.Millisecond
				e.MarkPauseRequested(h.clock.Now(), d)
				ask(e, d)
			case 1:
				e.MarkWorking()
			case 2:
				e.SetSuspected(false)
				h.directory.Remove(entry.ID, h.clock.Now())
				h.directory.Put(entry)
			case 3:
				entry.Born++
				h.directory.Put(entry)
			case 4:
				h.clock.Advance(time.Duration(rapid.IntRange(1, 2000).Draw(rt, "ms")) * time.Millisecond)
			case 5:
				if depth < 3 {
					depth++
					s.mu.Unlock()
					h.ask(t, "/once/")
					s.mu.Lock()
					depth--
				}
			}
		}
		s.answer = func(e *roster.Endpoint, a *relay.Attempt) *relay.Answer {
			now := h.clock.Now()
			if left := until[e.Entry().Key].Sub(now); left > 0 {
				rt.Errorf("an attempt was written to %+v %v before the end of its pause", e.Entry().Key, left)
			}
			if a.Source != nil && until[a.Source.Endpoint.Entry().Key].After(now) {
				rt.Errorf("a KV cache was fetched from %+v in its pause", a.Source.Endpoint.Entry().Key)
			}
			answer := success(e, a)
			switch behaviour(rapid.IntRange(0, int(answers503)).Draw(rt, "behaviour")) {
			case rejects, answers503:
				d := time.Duration(rapid.IntRange(0, 3000).Draw(rt, "retry after")) * time.Millisecond
				answer = &relay.Answer{Status: 503, NotRun: rapid.Bool().Draw(rt, "not run"), RetryAfter: d, Body: &body{}}
				ask(e, d)
			case losesAnswer:
				return nil
			case breaksOff:
				answer.Body.(*body).breaksOff = true
			case fails:
				answer = &relay.Answer{Status: 500, Body: &body{text: "failed"}}
			}
			return answer
		}
		for range rapid.IntRange(1, 15).Draw(rt, "requests") {
			h.ask(t, rapid.SampledFrom([]string{"/once/", "/again/", "/stream/", "/resume/"}).Draw(rt, "path"))
		}
	})
}

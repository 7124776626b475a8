package relay_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
	"pgregory.net/rapid"
)

// TestNoRequestIsLostInASilentFleet sends requests of each kind to endpoints that have few places and fall silent at any moment, alone or
// together, while callers leave and the retry budget, the configuration and the fleet change. It guards against requests that are cut,
// repeated, left behind or answered out of order as they move from a silent endpoint to another one.
func TestNoRequestIsLostInASilentFleet(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := drawWorld(rt)
		if faults := playInBubble(t, p); len(faults) > 0 {
			rt.Fatal(strings.Join(faults, "\n\n"))
		}
	})
}

// playInBubble plays a plan in virtual time and returns the faults.
func playInBubble(t *testing.T, p *worldPlan) (faults []string) {
	var w *world
	synctest.Test(t, func(t *testing.T) {
		w = newWorld(p)
		w.play(t.Context())
	})
	if len(w.panics) > 0 {
		return []string{fmt.Sprintf("PANIC: %v", w.panics)}
	}
	return w.faults()
}

// drawTicks draws a time.
func drawTicks(t *rapid.T, from, to time.Duration, label string) time.Duration {
	return time.Duration(rapid.IntRange(int(from/tick), int(to/tick)).Draw(t, label)) * tick
}

// drawRarely draws true in one of n cases.
func drawRarely(t *rapid.T, n int, label string) bool {
	return rapid.IntRange(0, n-1).Draw(t, label) == n-1
}

// horizon is until when things happen to a silent world.
const horizon = 4 * time.Second

func drawWorld(t *rapid.T) *worldPlan {
	p := &worldPlan{leaving: map[int]time.Duration{}}
	counts := map[roster.Stage]int{roster.NoStage: rapid.IntRange(1, 4).Draw(t, "plain"), roster.Prefill: rapid.IntRange(0, 3).Draw(t, "prefill"),
		roster.Decode: rapid.IntRange(1, 4).Draw(t, "decode")}
	for _, stage := range []roster.Stage{roster.NoStage, roster.Prefill, roster.Decode} {
		for i := range counts[stage] {
			p.endpoints = append(p.endpoints, drawEndpoint(t, stage, i))
		}
	}
	for range rapid.IntRange(0, 2).Draw(t, "silences of all") {
		s := drawSilence(t, horizon)
		for _, e := range p.endpoints {
			e.silences = append(e.silences, s)
		}
	}
	for i := range rapid.IntRange(5, 60).Draw(t, "requests") {
		p.requests = append(p.requests, drawRequest(t, i))
	}
	for i := range p.endpoints {
		if drawRarely(t, 8, "is listed as leaving") {
			p.leaving[i] = drawTicks(t, 0, horizon, "leaving")
		}
	}
	p.drawChanges(t)
	return p
}

// drawChanges draws the retry budget and the configuration, and changes of them.
func (p *worldPlan) drawChanges(t *rapid.T) {
	at := time.Duration(0)
	for i := range rapid.IntRange(1, 3).Draw(t, "budgets") {
		if i > 0 {
			at += drawTicks(t, tick, horizon/2, "budget at")
		}
		ratio := float64(rapid.IntRange(0, 5).Draw(t, "ratio")) / 10
		slack := float64(rapid.SampledFrom([]int{0, 0, 1, 2, 5, 20, 50}).Draw(t, "slack"))
		p.budget = append(p.budget, budgetChange{at, ratio, slack})
	}
	at = 0
	for i := range rapid.IntRange(1, 3).Draw(t, "tables") {
		if i > 0 {
			at += drawTicks(t, tick, horizon/2, "table at")
		}
		p.tables = append(p.tables, tableChange{at, rapid.IntRange(2, 3).Draw(t, "attempts")})
	}
}

func drawSilence(t *rapid.T, until time.Duration) span {
	from := drawTicks(t, 0, until, "silence")
	return span{from, from + drawTicks(t, 300*time.Millisecond, 3*time.Second, "silent for")}
}

func drawEndpoint(t *rapid.T, stage roster.Stage, i int) *placedEndpoint {
	service := engineService
	if stage == roster.NoStage {
		service = plainService
	}
	id := wire.EndpointId(fmt.Sprintf("%s-%d", stageName(stage), i))
	e := &placedEndpoint{queue: rapid.IntRange(0, 4).Draw(t, "queue"), noticesLate: rapid.Bool().Draw(t, "notices late"), headFirst: rapid.Bool().Draw(t, "head first")}
	e.entry = roster.Entry{Key: roster.Key{ID: id, Born: 1}, Service: service, Domain: "a", Stage: stage, Slots: rapid.SampledFrom([]int{1, 2, 4, 8, 16, 64}).Draw(t, "slots")}
	for range rapid.IntRange(0, 2).Draw(t, "silences") {
		e.silences = append(e.silences, drawSilence(t, horizon))
	}
	if drawRarely(t, 8, "rejects") {
		from := drawTicks(t, 0, horizon, "rejects")
		e.rejecting = []span{{from, from + drawTicks(t, tick, 2*time.Second, "rejects for")}}
		e.retryAfter = drawTicks(t, 200*time.Millisecond, 2*time.Second, "retry after")
	}
	if drawRarely(t, 8, "says that it leaves") {
		e.leavesAt = drawTicks(t, tick, horizon, "leaves")
	}
	if drawRarely(t, 8, "breaks") {
		e.breaks = []time.Duration{drawTicks(t, tick, horizon, "breaks")}
	}
	return e
}

func drawRequest(t *rapid.T, i int) *plannedRequest {
	r := &plannedRequest{ID: wire.RequestId(fmt.Sprint("r", i)), path: rapid.SampledFrom([]string{"/resume/", "/again/", "/stream/", "/once/"}).Draw(t, "path")}
	r.at = drawTicks(t, 0, horizon/2, "at")
	if r.path == "/resume/" || r.path == "/stream/" {
		r.tokens = rapid.SampledFrom([]int{9000, 200, 25000}).Draw(t, "tokens")
		r.events = rapid.IntRange(1, 30).Draw(t, "events")
		r.step = drawTicks(t, 0, 150*time.Millisecond, "step")
	}
	if drawRarely(t, 4, "sends comments") {
		r.commentEvery = drawTicks(t, tick, 500*time.Millisecond, "comment every")
	}
	if drawRarely(t, 3, "is silent") {
		r.runSilent = []span{drawSilence(t, time.Second)}
	}
	if drawRarely(t, 3, "its later runs have trouble") {
		for range rapid.IntRange(1, 3).Draw(t, "later runs") {
			r.laterRuns = append(r.laterRuns, drawLaterRun(t))
		}
	}
	if drawRarely(t, 4, "its prefill is silent") {
		r.prefillSilent = []span{drawSilence(t, 200*time.Millisecond)}
	}
	if drawRarely(t, 6, "its caller is slow") {
		r.slow = drawTicks(t, tick, 300*time.Millisecond, "slow")
	}
	if drawRarely(t, 8, "its caller leaves") {
		r.leavesAfter = drawTicks(t, tick, horizon, "leaves after")
	}
	return r
}

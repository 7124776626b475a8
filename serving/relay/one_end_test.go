package relay_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/route"
	"pgregory.net/rapid"
)

// endCaller is a caller that records the order of the calls, without those for events.
type endCaller struct {
	calls []string
	// gone is set if writing events fails.
	gone bool
}

func (c *endCaller) Answer(int, relay.Header, []byte) { c.calls = append(c.calls, "Answer") }
func (c *endCaller) Begin(int, relay.Header)          { c.calls = append(c.calls, "Begin") }
func (c *endCaller) End()                             { c.calls = append(c.calls, "End") }
func (c *endCaller) Abort()                           { c.calls = append(c.calls, "Abort") }
func (c *endCaller) Refuse(relay.Refusal)             { c.calls = append(c.calls, "Refuse") }

func (c *endCaller) Event([]byte) error {
	if c.gone {
		return context.Canceled
	}
	return nil
}

// ends are the calls that end a request, each with the last decision that goes with it.
var ends = map[string]string{"[Answer]": "Answered", "[Refuse]": relay.StepRefused, "[Begin End]": "Answered", "[Begin Abort]": relay.StepAborted}

// openCase is a request and what happens to it.
type openCase struct {
	path       string
	tokens     int
	behaviours []behaviour
	// after is when the request is met by what happens.
	after time.Duration
	event string
}

func drawOpenCase(t *rapid.T) openCase {
	drawn := rapid.SampledFrom([]behaviour{succeeds, rejects, misdirects, unreachable, losesAnswer, breaksOff, fails, hangs, stalls, answers503,
		sendsComments, sendsSlowly, sendsNoEvents, fallsSilent, sendsUnnumbered, answersLate, beginsWithComment})
	return openCase{
		path:       rapid.SampledFrom([]string{"/once/", "/again/", "/stream/", "/resume/"}).Draw(t, "path"),
		tokens:     rapid.SampledFrom([]int{500, 9000}).Draw(t, "tokens"),
		behaviours: rapid.SliceOfN(drawn, 1, 12).Draw(t, "behaviours"),
		after:      time.Duration(rapid.IntRange(0, int(routeTimeout/time.Millisecond)).Draw(t, "after")) * time.Millisecond,
		event: rapid.SampledFrom([]string{"nothing", "disconnect", "stop", "no routes", "late stop", "endpoints gone", "writes fail"}).
			Draw(t, "event"),
	}
}

// outcome is what the caller got, the steps of the decisions that end a request, and how long the request took.
type outcome struct {
	calls, steps []string
	took         time.Duration
}

// run serves the request.
func (c *openCase) run(t *testing.T) (o outcome) {
	n := 0
	h := newHarness(func(*relay.Attempt) behaviour {
		b := c.behaviours[min(n, len(c.behaviours)-1)]
		n++
		return b
	})
	h.sender.onSilence = func() {}
	ctx, cancel := context.WithCancelCause(t.Context())
	defer cancel(nil)
	caller := &endCaller{gone: c.event == "writes fail"}
	timer := time.AfterFunc(c.after, func() { c.happen(h, cancel) })
	defer timer.Stop()
	p := prompt()
	p.Tokens = c.tokens
	began := time.Now()
	h.relay.Serve(ctx, &relay.Request{ID: "r", Arrived: began, Method: "POST", Path: c.path, Host: "h", Prompt: p}, caller)
	for _, d := range h.recorder.decisions {
		if slices.Contains([]string{"Answered", relay.StepRefused, relay.StepAborted}, d.Step) {
			o.steps = append(o.steps, d.Step)
		}
	}
	o.calls, o.took = caller.calls, time.Since(began)
	return o
}

// happen is what meets the request.
func (c *openCase) happen(h *harness, cancel context.CancelCauseFunc) {
	switch c.event {
	case "disconnect":
		cancel(nil)
	case "stop":
		cancel(relay.ErrStopping)
	case "late stop":
		h.relay.StopAt(time.Now())
	case "no routes":
		h.relay.SetTable(route.NewTable(2, nil, nil, nil, route.Limits{}))
	case "endpoints gone":
		for id := range h.directory.View().All() {
			h.directory.Remove(id, time.Now())
		}
	}
}

// TestEachRequestEndsOnceAndIsLogged guards against requests that end without an answer, with two, late, or without a line in the log: whatever
// the endpoints do, as the caller leaves, the instance stops or the configuration changes at any moment.
func TestEachRequestEndsOnceAndIsLogged(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		c := drawOpenCase(r)
		var o outcome
		synctest.Test(t, func(t *testing.T) { o = c.run(t) })
		want, known := ends[fmt.Sprint(o.calls)]
		if !known || len(o.steps) != 1 || o.steps[0] != want {
			r.Fatalf("the caller got %v, the log has the ends %v", o.calls, o.steps)
		}
		limit := routeTimeout
		if c.event == "disconnect" || c.event == "stop" {
			limit = c.after
		}
		if o.took > limit {
			r.Fatalf("the request ended after %v, want at most %v", o.took, limit)
		}
	})
}

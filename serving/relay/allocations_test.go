package relay_test

import (
	"context"
	"testing"

	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/roster"
)

// TestCheckBeforeTheWriteAllocatesNothing guards against a check of what endpoints have said that costs each request memory.
func TestCheckBeforeTheWriteAllocatesNothing(t *testing.T) {
	h := newGatedHarness(&gatedSender{})
	e := h.directory.View().Service(plainService)[0]
	a := &relay.Attempt{}
	now := h.clock.Now()
	n := testing.AllocsPerRun(100, func() {
		if !e.Available(now) || a.Permit(e, now) != nil {
			t.Error("the endpoint is not available")
		}
	})
	if n > 0 {
		t.Errorf("the check makes %v allocations", n)
	}
}

// discardingCaller is a caller that keeps nothing.
type discardingCaller struct{}

func (discardingCaller) Answer(int, relay.Header, []byte) {}
func (discardingCaller) Begin(int, relay.Header)          {}
func (discardingCaller) Event([]byte) error               { return nil }
func (discardingCaller) End()                             {}
func (discardingCaller) Abort()                           {}
func (discardingCaller) Refuse(relay.Refusal)             {}

// BenchmarkRequest measures a booking and a stream whose prompt is prefilled separately, without network. The fakes allocate a part of
// what is counted.
func BenchmarkRequest(b *testing.B) {
	for name, path := range map[string]string{"booking": "/once/", "stream": "/stream/"} {
		b.Run(name, func(b *testing.B) {
			s := &gatedSender{answer: func(e *roster.Endpoint, a *relay.Attempt) *relay.Answer { return success(e, a) }}
			h := newGatedHarness(s)
			b.ReportAllocs()
			for b.Loop() {
				r := &relay.Request{ID: "r", Arrived: h.clock.Now(), Method: "POST", Path: path, Host: "h", Prompt: prompt()}
				h.relay.Serve(context.Background(), r, discardingCaller{})
				s.writes, h.recorder.decisions = s.writes[:0], h.recorder.decisions[:0]
			}
		})
	}
}

package main

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

func TestCrashCutsConnectionOnce(t *testing.T) {
	b := startEngine(t, loadedSettings())
	for _, test := range []struct{ after, want int }{{2, 2}, {5, 5}, {-1, 0}} {
		b.postControl(t, "/fault", wire.EngineFault{CrashAfterTokens: test.after, Once: true})
		p := b.stream("r", chat("a", 5))
		if p.err == nil || p.done || len(p.ids) != test.want {
			t.Errorf("crash after %d: %d events, error %v", test.after, len(p.ids), p.err)
		}
		if p := b.stream("r", chat("a", 5)); !p.done || len(p.ids) != 6 {
			t.Errorf("after the crash: %d events, error %v", len(p.ids), p.err)
		}
	}
}

func TestCrossedAnswerNamesAnotherRequest(t *testing.T) {
	b := startEngine(t, loadedSettings())
	b.stream("first", chat("a", 1))
	b.postControl(t, "/fault", wire.EngineFault{WrongAttempt: true, Once: true})
	p := b.stream("second", chat("a", 1))
	if got := p.header.Get("Request-Id"); got != "first" || p.ids[0] != "first/2/0" {
		t.Errorf("header %q, ids %q", got, p.ids)
	}
}

func TestLateFaultDelaysFirstByte(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := startEngine(t, loadedSettings(), withClock(clock))
	b.postControl(t, "/fault", wire.EngineFault{LateMillis: 500})
	done := make(chan *reply, 1)
	go func() { done <- b.stream("r", chat("a", 2)) }()
	advance(t, clock, 499*time.Millisecond)
	if got := b.firstReceived(t).Emitted; got != 0 {
		t.Errorf("%d tokens emitted before time", got)
	}
	advance(t, clock, time.Millisecond)
	if p := <-done; !p.done || len(p.ids) != 3 {
		t.Errorf("ids %q, error %v", p.ids, p.err)
	}
}

// stallRequest starts a request that emits n tokens and then hangs, and returns once the tokens are emitted.
func (e *testEngine) stallRequest(t *testing.T, ctx context.Context, n int) *http.Response {
	t.Helper()
	e.postControl(t, "/fault", wire.EngineFault{StallAfterTokens: n, Once: true})
	body := chat("a", n+1)
	body["stream"] = true
	answer, err := e.send(ctx, "/v1/chat/completions", "stalled", body)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = answer.Body.Close() })
	eventually(t, "the tokens before the stall", func() bool { return e.firstReceived(t).Emitted == n })
	return answer
}

func TestCallerDisconnectCancelsRequest(t *testing.T) {
	b := startEngine(t, loadedSettings())
	ctx, cancel := context.WithCancel(t.Context())
	b.stallRequest(t, ctx, 3)
	cancel()
	eventually(t, "a cancelled request", func() bool { return b.firstReceived(t).Cancelled })
	if got := b.firstReceived(t); got.Finished || got.Emitted != 3 || got.Workspace != "w" || got.Attempt != 2 {
		t.Errorf("received %+v", got)
	}
}

func TestFullEngineRejectsRequests(t *testing.T) {
	cfg := loadedSettings()
	cfg.MaxRunning, cfg.MaxWaiting = 1, 1
	b := startEngine(t, cfg)
	ctx, cancel := context.WithCancel(t.Context())
	b.stallRequest(t, ctx, 1)
	done := make(chan *reply, 1)
	go func() { done <- b.stream("waits", chat("b", 1)) }()
	eventually(t, "a queued request", func() bool { return b.loads.lagging().Waiting == 1 })
	p := b.stream("rejected", chat("c", 1))
	if p.status != http.StatusServiceUnavailable || p.header.Get("Outcome") != "NotRun" {
		t.Errorf("status %d, header %v", p.status, p.header)
	}
	cancel()
	if p := <-done; p.err != nil || p.status != http.StatusOK {
		t.Errorf("queued request: status %d, error %v", p.status, p.err)
	}
	if n := len(b.received().Requests); n != 2 {
		t.Errorf("%d requests ran, want 2", n)
	}
}

func TestOrderCutsRunningRequests(t *testing.T) {
	clock := clockwork.NewFakeClock()
	cfg := loadedSettings()
	cfg.OrderMillis = 1000
	b := startEngine(t, cfg, withClock(clock))
	running := b.stallRequest(t, t.Context(), 2)
	b.postControl(t, "/orders", wire.EngineOrder{Order: "o", Action: wire.EngineActionLoadModel, Model: "m", ModelVersion: "2"})
	if _, err := io.ReadAll(running.Body); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("running request ended with %v", err)
	}
	if p := b.stream("r", chat("a", 1)); p.status != http.StatusServiceUnavailable || p.header.Get("Outcome") != "NotRun" {
		t.Errorf("while the order is pending: status %d, header %v", p.status, p.header)
	}
	if state := b.currentState(); state.LastOrderDone || state.ModelVersion != "1" {
		t.Errorf("while the order is pending: state %+v", state)
	}
	advance(t, clock, time.Second)
	eventually(t, "the order done", func() bool { return b.currentState().LastOrderDone })
	if got := b.currentState().ModelVersion; got != "2" {
		t.Errorf("model version %s, want 2", got)
	}
	if p := b.stream("r", chat("a", 1)); p.status != http.StatusOK {
		t.Errorf("after the order: status %d", p.status)
	}
	if got := b.firstReceived(t); got.Finished || got.Cancelled {
		t.Errorf("cut request: %+v", got)
	}
}

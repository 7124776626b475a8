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
	e := startEngine(t, loadedSettings())
	for _, test := range []struct{ after, want int }{{2, 2}, {5, 5}, {-1, 0}} {
		e.postControl(t, "/fault", wire.EngineFault{CrashAfterTokens: test.after, Once: true})
		res := e.stream("r", chat("a", 5))
		if res.err == nil || res.done || len(res.ids) != test.want {
			t.Errorf("crash after %d: %d events, error %v", test.after, len(res.ids), res.err)
		}
		if res := e.stream("r", chat("a", 5)); !res.done || len(res.ids) != 6 {
			t.Errorf("after the crash: %d events, error %v", len(res.ids), res.err)
		}
	}
}

func TestCrossedAnswerNamesAnotherRequest(t *testing.T) {
	e := startEngine(t, loadedSettings())
	e.stream("first", chat("a", 1))
	e.postControl(t, "/fault", wire.EngineFault{WrongAttempt: true, Once: true})
	res := e.stream("second", chat("a", 1))
	if got := res.header.Get("Request-Id"); got != "first" || res.ids[0] != "first/2/0" {
		t.Errorf("header %q, ids %q", got, res.ids)
	}
}

func TestLateFaultDelaysFirstByte(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := startEngine(t, loadedSettings(), withClock(clock))
	e.postControl(t, "/fault", wire.EngineFault{LateMillis: 500})
	done := make(chan *reply, 1)
	go func() { done <- e.stream("r", chat("a", 2)) }()
	advance(t, clock, 499*time.Millisecond)
	if got := e.firstReceived(t).Emitted; got != 0 {
		t.Errorf("%d tokens emitted before time", got)
	}
	advance(t, clock, time.Millisecond)
	if res := <-done; !res.done || len(res.ids) != 3 {
		t.Errorf("ids %q, error %v", res.ids, res.err)
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
	e := startEngine(t, loadedSettings())
	ctx, cancel := context.WithCancel(t.Context())
	e.stallRequest(t, ctx, 3)
	cancel()
	eventually(t, "a cancelled request", func() bool { return e.firstReceived(t).Cancelled })
	if got := e.firstReceived(t); got.Finished || got.Emitted != 3 || got.Workspace != "w" || got.Attempt != 2 {
		t.Errorf("received %+v", got)
	}
}

func TestFullEngineRejectsRequests(t *testing.T) {
	cfg := loadedSettings()
	cfg.MaxRunning, cfg.MaxWaiting = 1, 1
	e := startEngine(t, cfg)
	ctx, cancel := context.WithCancel(t.Context())
	e.stallRequest(t, ctx, 1)
	done := make(chan *reply, 1)
	go func() { done <- e.stream("waits", chat("b", 1)) }()
	eventually(t, "a queued request", func() bool { return e.loads.lagging().Waiting == 1 })
	res := e.stream("rejected", chat("c", 1))
	if res.status != http.StatusServiceUnavailable || res.header.Get("Outcome") != "NotRun" {
		t.Errorf("status %d, header %v", res.status, res.header)
	}
	cancel()
	if res := <-done; res.err != nil || res.status != http.StatusOK {
		t.Errorf("queued request: status %d, error %v", res.status, res.err)
	}
	if n := len(e.received().Requests); n != 2 {
		t.Errorf("%d requests ran, want 2", n)
	}
}

func TestOrderCutsRunningRequests(t *testing.T) {
	clock := clockwork.NewFakeClock()
	cfg := loadedSettings()
	cfg.OrderMillis = 1000
	e := startEngine(t, cfg, withClock(clock))
	running := e.stallRequest(t, t.Context(), 2)
	e.postControl(t, "/orders", wire.EngineOrder{Order: "o", Action: wire.EngineActionLoadModel, Model: "m", ModelVersion: "2"})
	if _, err := io.ReadAll(running.Body); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("running request ended with %v", err)
	}
	if res := e.stream("r", chat("a", 1)); res.status != http.StatusServiceUnavailable || res.header.Get("Outcome") != "NotRun" {
		t.Errorf("while the order is pending: status %d, header %v", res.status, res.header)
	}
	if state := e.currentState(); state.LastOrderDone || state.ModelVersion != "1" {
		t.Errorf("while the order is pending: state %+v", state)
	}
	advance(t, clock, time.Second)
	eventually(t, "the order done", func() bool { return e.currentState().LastOrderDone })
	if got := e.currentState().ModelVersion; got != "2" {
		t.Errorf("model version %s, want 2", got)
	}
	if res := e.stream("r", chat("a", 1)); res.status != http.StatusOK {
		t.Errorf("after the order: status %d", res.status)
	}
	if got := e.firstReceived(t); got.Finished || got.Cancelled {
		t.Errorf("cut request: %+v", got)
	}
}

package main

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"cowslipshunt.example/shared/platform"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

// testTimeout bounds how long a test waits.
const testTimeout = 10 * time.Second

func status(err error) int {
	var refused *platform.Error
	if errors.As(err, &refused) {
		return refused.Status
	}
	return 0
}

// TestOrdersAreIdempotentPerID checks that a repeated order, here o1, does not undo a later one, and that released endpoints
// leave the list after LeaveTime.
func TestOrdersAreIdempotentPerID(t *testing.T) {
	f := newFixture(t)
	steps := []struct {
		do   func()
		want string
	}{
		{func() {}, "e1 "},
		{func() { f.orderEndpoints("o1", 2) }, "e1 e2 "},
		{func() { f.orderEndpoints("o2", 1) }, "e1 e2 - "},
		{func() { f.orderEndpoints("o1", 2) }, "e1 e2 - "},
		{func() { f.orderEndpoints("o3", 2) }, "e1 e2 - e3 "},
		{func() { f.clock.Advance(LeaveTime) }, "e1 e3 "},
		{func() { f.postControl("/endpoints/vanish", wire.EndpointRef{Endpoint: "e1"}) }, "e3 "},
		{func() { f.postControl("/endpoints/leaving", wire.EndpointRef{Endpoint: "e3"}) }, "e3 - "},
	}
	for i, step := range steps {
		step.do()
		if got := f.listedEndpoints(); got != step.want {
			t.Errorf("step %d: got %q, want %q", i, got, step.want)
		}
	}
	if answer := f.orderEndpoints("o4", 3); answer.Count != 1 || answer.Reason == "" {
		t.Errorf("an order for more endpoints than the pool has free got %+v", answer)
	}
	_, err := f.OrderEndpoints(t.Context(), wire.EndpointOrder{Order: "o1", Domain: "d", Kind: "k", Count: 3})
	if status(err) != http.StatusConflict {
		t.Errorf("a repeated order id with another count got %v", err)
	}
	if got := fetch[wire.EndpointOrderList](f, "/received/orders"); len(got.Orders) != 6 {
		t.Errorf("received %d orders, want 6: %+v", len(got.Orders), got.Orders)
	}
	if got := f.postControl("/endpoints/vanish", wire.EndpointRef{Endpoint: "e1"}); got != http.StatusNotFound {
		t.Errorf("vanish of an endpoint that is no longer listed: status %d", got)
	}
}

func TestReportedUsageOfWindowIsImmutable(t *testing.T) {
	f := newFixture(t)
	a, b := wire.UsageFigure{Workspace: "a", Requests: 1}, wire.UsageFigure{Workspace: "b", Requests: 2}
	reports := []struct {
		report wire.UsageReport
		want   int
	}{
		{wire.UsageReport{Window: 1, Holder: "x", Figures: []wire.UsageFigure{a, b}}, 0},
		{wire.UsageReport{Window: 1, Holder: "y", Figures: []wire.UsageFigure{b, a}}, 0},
		{wire.UsageReport{Window: 1, Figures: []wire.UsageFigure{a}}, http.StatusConflict},
		{wire.UsageReport{Window: 1, Figures: []wire.UsageFigure{a, a}}, http.StatusConflict},
		{wire.UsageReport{Window: 2, Figures: []wire.UsageFigure{a}}, 0},
	}
	for i, r := range reports {
		err := f.ReportUsage(t.Context(), r.report)
		if status(err) != r.want || (err == nil) != (r.want == 0) {
			t.Errorf("report %d: got %v, want status %d", i, err, r.want)
		}
	}
	if got := fetch[wire.UsageReportList](f, "/received/usage"); len(got.Reports) != len(reports) {
		t.Errorf("received %d reports, want %d", len(got.Reports), len(reports))
	}
}

func TestObjectsAreNamedByTheirDigest(t *testing.T) {
	f := newFixture(t)
	data := []byte("text")
	name := digestOf(data)
	if err := f.PutObject(t.Context(), name, []byte("other")); status(err) != http.StatusBadRequest {
		t.Errorf("a name that is not the digest got %v", err)
	}
	if _, err := f.GetObject(t.Context(), name); status(err) != http.StatusNotFound {
		t.Errorf("an object that was not stored got %v", err)
	}
	for range 2 {
		if err := f.PutObject(t.Context(), name, data); err != nil {
			t.Error(err)
		}
	}
	if got, err := f.GetObject(t.Context(), name); err != nil || !bytes.Equal(got, data) {
		t.Errorf("got %q, %v", got, err)
	}
}

func TestInstanceListLags(t *testing.T) {
	f := newFixture(t)
	f.postControl("/instances", wire.InstanceRecord{Instance: "i", Phase: wire.InstancePhaseLive})
	for _, want := range []int{0, 1} {
		got, err := f.Instances(t.Context())
		if err != nil || len(got) != want {
			t.Errorf("got %+v, %v, want %d instances", got, err, want)
		}
		f.clock.Advance(defaultInstancesLagMillis * time.Millisecond)
	}
}

// timedWriter records the time and size of each write, as alternating milliseconds and bytes.
type timedWriter struct {
	now func() time.Time
	at  []int64
}

func (w *timedWriter) Write(data []byte) (int, error) {
	w.at = append(w.at, w.now().UnixMilli(), int64(len(data)))
	return len(data), nil
}

func TestWeightsAreRateLimited(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	clock := clockwork.NewFakeClockAt(time.UnixMilli(0))
	got := &timedWriter{now: clock.Now}
	done := make(chan error, 1)
	go func() { done <- NewWeights(clock, 1000, 120).Copy(ctx, got, "m", "v") }()
	for range 7 {
		if err := clock.BlockUntilContext(ctx, 1); err != nil {
			t.Fatal(err)
		}
		clock.Advance(10 * time.Millisecond)
	}
	if err := <-done; err != nil || !slices.Equal(got.at, []int64{0, 50, 50, 50, 70, 20}) {
		t.Errorf("got writes (ms, bytes) %v, error %v", got.at, err)
	}
}

func TestFaults(t *testing.T) {
	f := newFixture(t)
	order := wire.EndpointOrder{Order: "o", Domain: "d", Kind: "k", Count: 2}
	f.postControl("/fault", wire.PlatformFault{Down: true, Paths: []string{"/endpoints"}})
	if _, err := f.OrderEndpoints(t.Context(), order); status(err) != http.StatusServiceUnavailable {
		t.Errorf("fault Down: got %v", err)
	}
	if _, err := f.Read(t.Context(), "t", "k"); err != nil {
		t.Errorf("a path that the fault does not list got %v", err)
	}
	f.postControl("/fault", wire.PlatformFault{LoseAnswers: true})
	if _, err := f.OrderEndpoints(t.Context(), order); !errors.Is(err, io.EOF) {
		t.Errorf("fault LoseAnswers: got %v", err)
	}
	f.postControl("/fault", wire.PlatformFault{})
	if got := f.listedEndpoints(); got != "e1 e2 " {
		t.Errorf("endpoints after an order whose answer was lost: %q", got)
	}
	if got := fetch[wire.EndpointOrderList](f, "/received/orders"); len(got.Orders) != 1 {
		t.Errorf("received %+v, want one order", got)
	}
}

// TestDelayedCallTakesEffectAfterCallerCancels cancels a call during its delay. As on a slow network, the call must still take
// effect, so that tests can produce late writes of callers that have stopped waiting.
func TestDelayedCallTakesEffectAfterCallerCancels(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	f := newFixture(t)
	f.postControl("/fault", wire.PlatformFault{DelayMillis: 1000, Paths: []string{"/usage"}})
	callCtx, cancelCall := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- f.ReportUsage(callCtx, wire.UsageReport{Window: 1}) }()
	if err := f.clock.BlockUntilContext(ctx, 1); err != nil {
		t.Fatal(err)
	}
	cancelCall()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want %v", err, context.Canceled)
	}
	f.clock.Advance(time.Second)
	for len(fetch[wire.UsageReportList](f, "/received/usage").Reports) == 0 && ctx.Err() == nil {
	}
	if ctx.Err() != nil {
		t.Error("the delayed report never arrived")
	}
}

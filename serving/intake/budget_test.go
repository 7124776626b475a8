package intake_test

import (
	"context"
	"errors"
	"runtime"
	"slices"
	"testing"
	"time"

	"cowslipshunt.example/serving/intake"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

const (
	limit = 8 << 20
	// reserved is the part of limit that only small bodies may take.
	reserved = limit / 8
	// timeout lets a body wait for the longest time.
	timeout = time.Minute
	longest = 400 * time.Millisecond
)

// ask is a body that was offered to a budget.
type ask struct {
	hold *intake.Hold
	n    int64
	at   time.Time
	done chan struct{}
	err  error
	// returned is set once its bytes were given back.
	returned bool
}

// isDone reports whether the body was taken or refused.
func (a *ask) isDone() bool {
	select {
	case <-a.done:
		return true
	default:
		return false
	}
}

// intakeWorld offers bodies to a budget and knows what it should hold.
type intakeWorld struct {
	t interface {
		Fatalf(format string, args ...any)
		Helper()
	}
	clock  *clockwork.FakeClock
	budget *intake.Budget
	asks   []*ask
}

// offer offers a body and waits until it is taken, waits or is refused.
func (w *intakeWorld) offer(workspace wire.WorkspaceName, n int64) *ask {
	a := &ask{hold: w.budget.Hold(workspace, timeout), n: n, at: w.clock.Now(), done: make(chan struct{})}
	w.asks = append(w.asks, a)
	go func() {
		defer close(a.done)
		a.err = a.hold.Grow(context.Background(), n)
	}()
	w.settle()
	return a
}

// advance moves the clock, so that bodies that have waited for the longest time are refused.
func (w *intakeWorld) advance(d time.Duration) {
	// A wait has to have its timer before the clock moves.
	if err := w.clock.BlockUntilContext(context.Background(), w.budget.Waiting()); err != nil {
		w.t.Fatalf("%v", err)
	}
	w.clock.Advance(d)
	for _, a := range w.asks {
		if w.clock.Since(a.at) >= longest {
			<-a.done
		}
	}
	w.settle()
}

func (w *intakeWorld) giveBack(a *ask) {
	a.returned = true
	a.hold.Release()
	w.settle()
}

// settle waits until each body is known to be taken, to wait or to be refused.
func (w *intakeWorld) settle() {
	for {
		open := 0
		for _, a := range w.asks {
			if !a.isDone() {
				open++
			}
		}
		if open == w.budget.Waiting() {
			break
		}
		runtime.Gosched()
	}
	w.check()
}

// check compares what the budget holds with the bodies that were taken, and with its limit.
func (w *intakeWorld) check() {
	w.t.Helper()
	var held, largest int64
	for _, a := range w.taken() {
		held += a.n
		largest = max(largest, a.n)
	}
	if got := w.budget.Held(); got != held {
		w.t.Fatalf("the budget holds %d bytes, want %d", got, held)
	}
	allowed := int64(limit)
	if largest > limit-reserved {
		allowed = largest + reserved
	}
	if held > allowed {
		w.t.Fatalf("the budget holds %d bytes, allowed are %d", held, allowed)
	}
}

// taken returns the bodies that are held.
func (w *intakeWorld) taken() []*ask {
	return slices.DeleteFunc(slices.Clone(w.asks), func(a *ask) bool { return !a.isDone() || a.err != nil || a.returned })
}

// smallAsked returns what small bodies hold or wait for.
func (w *intakeWorld) smallAsked() int64 {
	var n int64
	for _, a := range w.asks {
		if a.n <= intake.SmallBytes && (!a.isDone() || a.err == nil && !a.returned) {
			n += a.n
		}
	}
	return n
}

func newWorld(t *testing.T) *intakeWorld {
	clock := clockwork.NewFakeClock()
	return &intakeWorld{t: t, clock: clock, budget: intake.New(clock, limit)}
}

// TestWorkspaceThatHoldsLeastGoesFirst guards against workspaces that are starved by one that fills the budget and has more bodies waiting.
func TestWorkspaceThatHoldsLeastGoesFirst(t *testing.T) {
	w := newWorld(t)
	var held, waiting []*ask
	for range 7 {
		held = append(held, w.offer("a", 1<<20))
	}
	for range 3 {
		waiting = append(waiting, w.offer("a", 1<<20))
	}
	b := w.offer("b", 1<<20)
	if b.isDone() {
		t.Fatalf("the body of b did not wait: %v", b.err)
	}
	w.giveBack(held[0])
	if !b.isDone() || b.err != nil || waiting[0].isDone() {
		t.Errorf("the first room went to the workspace that holds more; the body of b: %v", b.err)
	}
	w.giveBack(held[1])
	if !waiting[0].isDone() || waiting[0].err != nil || waiting[1].isDone() {
		t.Error("bodies of one workspace are not taken in their order")
	}
	for _, a := range held[2:] {
		w.giveBack(a)
	}
}

// TestSmallBodiesDoNotStarveLargeOnes guards against large bodies that wait for ever, as small ones take each byte that is given back.
func TestSmallBodiesDoNotStarveLargeOnes(t *testing.T) {
	w := newWorld(t)
	var small []*ask
	for range limit / intake.SmallBytes {
		small = append(small, w.offer("a", intake.SmallBytes))
	}
	large := w.offer("b", 1<<20)
	next := w.offer("c", intake.SmallBytes)
	for i := 0; !large.isDone(); i++ {
		if next.isDone() {
			t.Fatal("a small body went before the large one, beyond the part that is kept for small ones")
		}
		w.giveBack(small[i])
	}
	if large.err != nil {
		t.Error(large.err)
	}
}

// TestBodyIsRefusedAtOnceWhereRoomComesLate guards against callers that wait in vain and learn late when to return.
func TestBodyIsRefusedAtOnceWhereRoomComesLate(t *testing.T) {
	w := newWorld(t)
	var held []*ask
	for range 7 {
		held = append(held, w.offer("a", 1<<20))
	}
	w.clock.Advance(14 * time.Second)
	// Seven bodies are returned in 14 s.
	w.giveBack(held[0])
	w.offer("a", 1<<20)
	a := w.offer("a", 1<<20)
	var full *intake.FullError
	if !a.isDone() || !errors.As(a.err, &full) {
		t.Fatalf("the body waits, or was taken: %v", a.err)
	}
	if full.RetryAfter != 2*time.Second || full.Held != 7<<20 || full.Limit != limit || full.Bytes != 1<<20 {
		t.Errorf("got %+v", full)
	}
}

// TestHoldThatGrowsIsOneBody guards against bodies of unknown length that hold more than they have, or keep their parts once refused.
func TestHoldThatGrowsIsOneBody(t *testing.T) {
	w := newWorld(t)
	h := w.budget.Hold("a", time.Nanosecond)
	for _, n := range []int64{intake.SmallBytes, 1 << 20, 6 << 20} {
		if err := h.Grow(t.Context(), n); err != nil || w.budget.Held() != n {
			t.Fatalf("grown to %d, the hold has %d: %v", n, w.budget.Held(), err)
		}
	}
	other := w.budget.Hold("b", time.Nanosecond)
	var full *intake.FullError
	if err := other.Grow(t.Context(), 2<<20); !errors.As(err, &full) {
		t.Errorf("got %v", err)
	}
	h.Shrink(100)
	if err := other.Grow(t.Context(), 2<<20); err != nil || w.budget.Held() != 2<<20+100 {
		t.Errorf("got %v, %d held", err, w.budget.Held())
	}
	h.Release()
	other.Release()
	if n := w.budget.Held(); n != 0 {
		t.Errorf("%d bytes were not given back", n)
	}
}

// TestWaitEndsWithTheCaller checks that a body that waits is given up when its request ends.
func TestWaitEndsWithTheCaller(t *testing.T) {
	w := newWorld(t)
	w.offer("a", 7<<20)
	ctx, cancel := context.WithCancelCause(t.Context())
	cause := errors.New("the instance stops")
	cancel(cause)
	if err := w.budget.Hold("b", timeout).Grow(ctx, 1<<20); !errors.Is(err, cause) || w.budget.Waiting() != 0 {
		t.Errorf("got %v, %d wait", err, w.budget.Waiting())
	}
}

package intake_test

import (
	"errors"
	"testing"
	"time"

	"cowslipshunt.example/serving/intake"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"
)

// TestBodiesInProgressStayBelowTheBudget guards against instances that are killed for their memory, with all that they hold: bodies of any
// sizes come from several workspaces, are held and given back at any time.
func TestBodiesInProgressStayBelowTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		w := &intakeWorld{t: t, clock: clock, budget: intake.New(clock, limit)}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch taken := w.taken(); rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				w.offerAny(t)
			case 2:
				if len(taken) > 0 {
					w.giveBack(rapid.SampledFrom(taken).Draw(t, "body"))
				}
			case 3:
				w.advance(time.Duration(rapid.IntRange(1, 500).Draw(t, "millis")) * time.Millisecond)
			case 4:
				for range rapid.IntRange(1, 40).Draw(t, "small bodies") {
					w.offer("small", intake.SmallBytes)
				}
			}
		}
		w.finish()
	})
}

// offerAny offers a body of any size. A small one has to be taken at once unless small ones fill the part that is kept for them, or wait for it.
func (w *intakeWorld) offerAny(t *rapid.T) {
	n := rapid.OneOf(rapid.Int64Range(1, intake.SmallBytes), rapid.Int64Range(intake.SmallBytes+1, limit/2), rapid.Int64Range(limit/2, 2*limit)).Draw(t, "bytes")
	before := w.smallAsked()
	a := w.offer(rapid.SampledFrom([]wire.WorkspaceName{"", "a", "b"}).Draw(t, "workspace"), n)
	if n <= intake.SmallBytes && before+n <= reserved && (!a.isDone() || a.err != nil) {
		w.t.Fatalf("a small body of %d bytes was not taken, %v, while small ones hold or wait for %d", n, a.err, before)
	}
}

// finish gives back all bodies. The budget then holds nothing, and takes a body that exceeds it.
func (w *intakeWorld) finish() {
	w.advance(longest)
	for _, a := range w.taken() {
		w.giveBack(a)
	}
	for _, a := range w.asks {
		var full *intake.FullError
		if a.err != nil && (!errors.As(a.err, &full) || full.RetryAfter < 250*time.Millisecond || full.RetryAfter > 3*time.Second) {
			w.t.Fatalf("a body was refused with %v", a.err)
		}
		a.hold.Release()
	}
	if n := w.budget.Held(); n != 0 {
		w.t.Fatalf("%d bytes were not given back", n)
	}
	if a := w.offer("c", 3*limit); !a.isDone() || a.err != nil {
		w.t.Fatalf("a body that exceeds the budget was not taken alone: %v", a.err)
	}
}

package main

import (
	"io"
	"testing"
	"time"

	"cowslipshunt.example/platform"
	"cowslipshunt.example/platform/platformtest"
	"cowslipshunt.example/serving/truetime"
)

// TestFirstBaseTakesTwoCalls guards against further calls to the store, each of which is billed, at the first start of a deployment: one
// reads the base of the agreed time and one writes it.
func TestFirstBaseTakesTwoCalls(t *testing.T) {
	const attempts = 5 // a call may time out on a busy machine
	for attempt := range attempts {
		standIn := platformtest.NewStore(t)
		clock := truetime.New(bootClock{}.Monotonic, time.Now)
		u := &usageWriter{store: platform.NewStore(standIn.Address, clock.Observe), clock: clock, logger: newLogger(io.Discard, "error", "i")}
		agreed, err := u.agree(t.Context())
		if err != nil && attempt < attempts-1 {
			continue
		}
		if !agreed || err != nil || !clock.Agreed() {
			t.Fatalf("agreed: %t, %v", agreed, err)
		}
		if calls := standIn.Calls(); calls != 2 {
			t.Errorf("the base took %d calls, want 2", calls)
		}
		return
	}
}

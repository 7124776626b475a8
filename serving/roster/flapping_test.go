package roster_test

import (
	"testing"
	"time"

	"cowslipshunt.example/serving/roster"
)

// TestFlappingEndpointIsTriedAfterGrowingPauses lets an endpoint go down and up by turns, whatever its health check says: it is judged by
// requests alone. While it fails, the pauses between two tries grow up to a bound; an answer ends them.
func TestFlappingEndpointIsTriedAfterGrowingPauses(t *testing.T) {
	d := roster.NewDirectory()
	d.Put(roster.Entry{Key: roster.Key{ID: "e", Born: 1}, Service: "s", Domain: "a", Slots: 1})
	e := d.View().All()["e"]
	now := time.Unix(1e9, 0)
	for turn := range 3 {
		var last time.Duration
		for try := range 8 {
			if !e.Available(now) {
				t.Fatalf("turn %d: the endpoint is not tried after its pause", turn)
			}
			pause := e.MarkFailed(now)
			if pause < last || pause > 4*time.Second || try > 0 && try < 4 && pause <= last {
				t.Fatalf("turn %d: pause %d is %v after one of %v", turn, try, pause, last)
			}
			if again := e.MarkFailed(now); again != 0 {
				t.Errorf("turn %d: a request that failed meanwhile began another pause of %v", turn, again)
			}
			if e.Available(now.Add(pause - time.Millisecond)) {
				t.Errorf("turn %d: the endpoint is tried before its pause ends", turn)
			}
			now, last = now.Add(pause), pause
		}
		if !e.MarkWorking() || !e.Available(now) {
			t.Fatalf("turn %d: an answer did not end the pauses", turn)
		}
	}
}

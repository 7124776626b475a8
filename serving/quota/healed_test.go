package quota_test

import (
	"testing"
	"time"
)

// TestHealedPartition guards against a workspace that is refused for long after a partition, as a domain that had been cut off for longer than
// its share was reserved is charged for all that time at once.
func TestHealedPartition(t *testing.T) {
	testFleet(t, 4, one(large), func(f *fleet) {
		start := time.Now()
		f.load("w", 3*large.Rate, 5*time.Second, prompts, f.anyInstance)
		f.mu.Lock()
		f.cut["b"] = time.Now()
		f.mu.Unlock()
		f.load("w", 3*large.Rate, 180*time.Second, prompts, f.anyInstance)
		f.mu.Lock()
		delete(f.cut, "b")
		f.mu.Unlock()
		f.checkBound("w", large, start)
		healed := time.Now()
		f.load("w", 3*large.Rate, 12*time.Second, prompts, f.anyInstance)
		recovered := time.Now()
		f.load("w", 3*large.Rate, 20*time.Second, prompts, f.anyInstance)
		f.checkBound("w", large, healed)
		checkUsed(t, f, large, recovered, 0.9)
	})
}

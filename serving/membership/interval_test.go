package membership_test

import (
	"testing"
	"time"

	"cowslipshunt.example/serving/membership"
	"cowslipshunt.example/serving/roster"
)

// reconnectedAfter is how long after an outage an instance counts as connected to the store again, by the platform's contract.
const reconnectedAfter = 3 * time.Second

func TestIntervalsGrowWithNumberOfInstances(t *testing.T) {
	tests := []struct {
		name     string
		interval func(instances int) time.Duration
		want     map[int]time.Duration
	}{
		{"batched changes", membership.BatchDelay, map[int]time.Duration{
			1: 6250 * time.Microsecond, 8: 50 * time.Millisecond, 80: 500 * time.Millisecond, 400: 500 * time.Millisecond,
		}},
		{"feeds without changes", membership.FeedWait, map[int]time.Duration{8: 3500 * time.Millisecond, 56: 7 * time.Second, 400: 10 * time.Second}},
		{"usage counts", membership.UsageWriteInterval, map[int]time.Duration{8: time.Second, 20: 2 * time.Second, 400: 4 * time.Second}},
		{"calls that are rejected", func(n int) time.Duration { return membership.MaxBackoff(n, 10*time.Millisecond) }, map[int]time.Duration{
			8: 250 * time.Millisecond, 50: 500 * time.Millisecond, 400: 800 * time.Millisecond,
		}},
		{"calls that time out", func(n int) time.Duration { return membership.MaxBackoff(n, 700*time.Millisecond) }, map[int]time.Duration{
			8: 250 * time.Millisecond, 400: 250 * time.Millisecond,
		}},
	}
	for _, test := range tests {
		for instances, want := range test.want {
			if got := test.interval(instances); got != want {
				t.Errorf("%s, %d instances: %v, want %v", test.name, instances, got, want)
			}
		}
	}
}

func TestLongestBackoffLeavesTimeForLapsedEntries(t *testing.T) {
	if membership.LongestBackoff+roster.LapseGrace >= reconnectedAfter {
		t.Error("lapsed entries are dropped only after the instance counts as connected again")
	}
}

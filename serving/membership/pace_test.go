package membership_test

import (
	"testing"
	"time"

	"cowslipshunt.example/serving/membership"
	"cowslipshunt.example/serving/roster"
)

// contact is how long after an outage an instance counts as in touch again, by the platform's contract.
const contact = 3 * time.Second

func TestPacesGrowWithTheInstances(t *testing.T) {
	tests := []struct {
		name string
		pace func(instances int) time.Duration
		want map[int]time.Duration
	}{
		{"gathered changes", membership.GatherTime, map[int]time.Duration{
			1: 6250 * time.Microsecond, 8: 50 * time.Millisecond, 80: 500 * time.Millisecond, 400: 500 * time.Millisecond,
		}},
		{"feeds without changes", membership.FeedWait, map[int]time.Duration{8: 3500 * time.Millisecond, 56: 7 * time.Second, 400: 10 * time.Second}},
		{"calls that are turned away", func(n int) time.Duration { return membership.RetryPause(n, 10*time.Millisecond) }, map[int]time.Duration{
			8: 250 * time.Millisecond, 50: 500 * time.Millisecond, 400: 800 * time.Millisecond,
		}},
		{"calls that wait in vain", func(n int) time.Duration { return membership.RetryPause(n, 700*time.Millisecond) }, map[int]time.Duration{
			8: 250 * time.Millisecond, 400: 250 * time.Millisecond,
		}},
	}
	for _, test := range tests {
		for instances, want := range test.want {
			if got := test.pace(instances); got != want {
				t.Errorf("%s, %d instances: %v, want %v", test.name, instances, got, want)
			}
		}
	}
}

func TestLongestPauseLeavesTimeForLapsedEntries(t *testing.T) {
	if membership.RetryAtMost+roster.LapseGrace >= contact {
		t.Error("lapsed entries are dropped only after the instance counts as in touch")
	}
}

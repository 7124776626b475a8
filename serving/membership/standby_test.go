package membership_test

import (
	"testing"
	"time"

	"cowslipshunt.example/serving/membership"
)

// looks plays instances that decide twice a second, and returns how many looks there are until each time and when the first was.
func looks(instances int, length time.Duration, heard func(t time.Duration) bool) (n int, first time.Duration) {
	list := make([]membership.Standby, instances)
	start := time.Unix(1e9, 0)
	first = -1
	for t := time.Duration(0); t < length; t += 500 * time.Millisecond {
		for place := range list {
			if !list[place].Due(place, heard(t), start.Add(t)) {
				continue
			}
			n++
			if first < 0 {
				first = t
			}
		}
	}
	return n, first
}

// TestStandbysWatchAHolderThatReports is a holder that is cut off from the store but not from its peers: someone has to watch the
// lease meanwhile, at a cost that does not grow with the instances.
func TestStandbysWatchAHolderThatReports(t *testing.T) {
	few, _ := looks(8, 10*time.Second, func(time.Duration) bool { return true })
	many, _ := looks(400, 10*time.Second, func(time.Duration) bool { return true })
	if few != many || few < 10 {
		t.Errorf("8 instances look %d times in 10 s, 400 look %d times", few, many)
	}
}

// TestChangeOfHoldersCostsFewLooks is a holder of a large deployment that dies: a lease of 3 s is free 3.7 s after it was seen first.
func TestChangeOfHoldersCostsFewLooks(t *testing.T) {
	n, first := looks(81, 4*time.Second, func(time.Duration) bool { return false })
	if first != 0 {
		t.Errorf("the first look was %v after the holder fell silent", first)
	}
	if all := 81 * 8; n > all/4 {
		t.Errorf("a change of holders costs %d looks of %d", n, all)
	}
}

// TestEveryInstanceLooksInTheEnd is a failure domain that is cut off: the instances that come first may all be in it.
func TestEveryInstanceLooksInTheEnd(t *testing.T) {
	s := membership.Standby{}
	start := time.Unix(1e9, 0)
	for wait := time.Duration(0); !s.Due(80, false, start.Add(wait)); wait += 500 * time.Millisecond {
		if wait > 10*time.Second {
			t.Fatal("the last of 81 instances does not look within 10 s")
		}
	}
}

// TestOutageCostsFewLooks is a store that is away for all of a large deployment, while nobody can hold the lease.
func TestOutageCostsFewLooks(t *testing.T) {
	list := make([]membership.Standby, 80)
	start := time.Unix(1e9, 0)
	n := 0
	for wait := time.Duration(0); wait < 10*time.Second; wait += 500 * time.Millisecond {
		for place := range list {
			if list[place].Due(place, false, start.Add(wait)) {
				list[place].Failed(start.Add(wait))
				n++
			}
		}
	}
	if all := 80 * 20; n > all/4 {
		t.Errorf("an outage of 10 s costs %d looks of %d", n, all)
	}
}

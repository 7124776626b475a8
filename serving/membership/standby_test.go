package membership_test

import (
	"testing"
	"time"

	"cowslipshunt.example/serving/membership"
)

// simulateChecks simulates instances that decide twice a second whether to check the lease. It returns the number of checks, and
// the time of the first one or -1.
func simulateChecks(instances int, length time.Duration, holderReports func(t time.Duration) bool) (n int, first time.Duration) {
	standbys := make([]membership.Standby, instances)
	start := time.Unix(1e9, 0)
	first = -1
	for t := time.Duration(0); t < length; t += 500 * time.Millisecond {
		for rank := range standbys {
			if !standbys[rank].Due(rank, holderReports(t), start.Add(t)) {
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

// A holder that is cut off from the store may still report to its peers. Some instances have to check the lease meanwhile, at a
// cost that does not grow with the number of instances.
func TestStandbysCheckTheLeaseOfAReportingHolder(t *testing.T) {
	few, _ := simulateChecks(8, 10*time.Second, func(time.Duration) bool { return true })
	many, _ := simulateChecks(400, 10*time.Second, func(time.Duration) bool { return true })
	if few != many || few < 10 {
		t.Errorf("8 instances check the lease %d times in 10 s, 400 instances %d times", few, many)
	}
}

// The holder of a large deployment crashes. A lease of 3 s is free 3.7 s after the other instances first read it.
func TestChangeOfHolderCostsFewChecks(t *testing.T) {
	n, first := simulateChecks(81, 4*time.Second, func(time.Duration) bool { return false })
	if first != 0 {
		t.Errorf("the first check was %v after the holder stopped reporting", first)
	}
	if all := 81 * 8; n > all/4 {
		t.Errorf("a change of the holder costs %d checks; all instances together could make %d", n, all)
	}
}

// The instances with the lowest ranks may all be in a failure domain that is cut off, so the others must check the lease as well.
func TestEveryInstanceEventuallyChecksTheLease(t *testing.T) {
	s := membership.Standby{}
	start := time.Unix(1e9, 0)
	for wait := time.Duration(0); !s.Due(80, false, start.Add(wait)); wait += 500 * time.Millisecond {
		if wait > 10*time.Second {
			t.Fatal("the last of 81 instances does not check the lease within 10 s")
		}
	}
}

// During a store outage nobody can hold the lease, and all instances of a large deployment would check it.
func TestStoreOutageCostsFewChecks(t *testing.T) {
	standbys := make([]membership.Standby, 80)
	start := time.Unix(1e9, 0)
	n := 0
	for wait := time.Duration(0); wait < 10*time.Second; wait += 500 * time.Millisecond {
		for rank := range standbys {
			if standbys[rank].Due(rank, false, start.Add(wait)) {
				standbys[rank].MarkFailed(start.Add(wait))
				n++
			}
		}
	}
	if all := 80 * 20; n > all/4 {
		t.Errorf("an outage of 10 s costs %d checks; all instances together could make %d", n, all)
	}
}

package quarantine

import (
	"slices"
	"time"
)

// threshold is how much evidence puts a part into quarantine.
type threshold struct {
	// endpoints is the number of endpoint incarnations that crashed, chain how many of them crashed one after the other.
	endpoints, chain int
	// percent is at how many of all endpoints that crashed meanwhile, for reasons that are not known, runs with the part broke off.
	percent int
}

// The thresholds for a part that no run has completed with, and for one that runs completed with before the first of the crashes.
var (
	unprovenThreshold = threshold{endpoints: 3, chain: 2}
	provenThreshold   = threshold{endpoints: 6, chain: 4, percent: 75}
)

// reachedBy reports whether evidence reaches a threshold; crashed is the number of all endpoints that crashed meanwhile.
func (h threshold) reachedBy(endpoints, chain, crashed int) bool {
	return endpoints >= h.endpoints && chain >= h.chain && 100*endpoints >= h.percent*crashed
}

// suspectEndpoints is at how many endpoints runs have to break off for a request not to be sent again.
const suspectEndpoints = 2

// settleTime is how old the first evidence has to be against a part that this instance does not know to be sound, and all evidence that
// fits several parts: within it, peers report crashes of the same endpoints, and which of the parts are sound.
const settleTime = 700 * time.Millisecond

// suspect is a set of parts with enough evidence against it: prompts that have all of them crash endpoints.
type suspect struct {
	parts []PartID
	// first is when the first of the crashes happened.
	first            time.Time
	endpoints, chain int
}

// strongerThan reports whether s explains the crashes more specifically than other, or as specifically with more evidence.
func (s *suspect) strongerThan(other *suspect) bool {
	switch {
	case s == nil:
		return false
	case other == nil:
		return true
	case len(s.parts) != len(other.parts):
		return len(s.parts) > len(other.parts)
	default:
		return s.chain > other.chain
	}
}

// suspectOf returns the suspect that includes a part, or nil if there is too little evidence.
func (t *Table) suspectOf(p PartID, now time.Time) *suspect {
	s, ambiguous := t.suspectLearnedBy(p, now)
	if s != nil && ambiguous {
		s, _ = t.suspectLearnedBy(p, now.Add(-settleTime))
	}
	return s
}

// suspectLearnedBy returns the suspect that includes a part by the evidence of a time, and whether that evidence fits other parts that
// may be sound, too.
func (t *Table) suspectLearnedBy(p PartID, at time.Time) (*suspect, bool) {
	_, proven := t.sound.last(p)
	crashes := t.evidence(p, at)
	endpoints, chain := endpointsOf(crashes), chainLength(crashes)
	if len(crashes) == 0 || !t.isEnough(proven, crashes[0], len(endpoints), chain, at) {
		return nil, false
	}
	s := &suspect{first: crashes[0].failed, endpoints: len(endpoints), chain: chain}
	// fits holds for each other part that may be at fault whether it occurs at most of the endpoints.
	fits := map[PartID]bool{}
	for _, c := range crashes {
		parts := []PartID{p}
		for _, q := range c.parts {
			if q == p || !proven && t.isProven(q) {
				continue
			}
			if _, known := fits[q]; !known {
				fits[q] = coversMost(endpointsOf(t.evidence(q, at)), endpoints)
			}
			if fits[q] {
				parts = append(parts, q)
			}
		}
		if len(parts) > len(s.parts) {
			s.parts = parts
		}
	}
	slices.Sort(s.parts)
	return s, len(fits) > 0
}

// evidence returns the crashes that count against a part, in order: those after the last run that completed with it, at endpoints whose
// crash nothing in quarantine explains.
func (t *Table) evidence(p PartID, at time.Time) []*crash {
	completed, _ := t.sound.last(p)
	return t.log.with(p, func(c *crash) bool {
		return c.failed.After(completed) && !c.learned.After(at) && !t.explained[c.endpoint]
	})
}

// unexplainedSince returns the crashes since a time at endpoints whose crash nothing in quarantine explains.
func (t *Table) unexplainedSince(first, at time.Time) []*crash {
	var list []*crash
	for _, c := range t.log.crashes {
		if !c.failed.Before(first) && !c.learned.After(at) && !t.explained[c.endpoint] {
			list = append(list, c)
		}
	}
	return list
}

func (t *Table) isProven(p PartID) bool {
	_, proven := t.sound.last(p)
	return proven
}

// isEnough reports whether evidence since a first crash puts a part into quarantine.
func (t *Table) isEnough(proven bool, first *crash, endpoints, chain int, at time.Time) bool {
	crashed := len(endpointsOf(t.unexplainedSince(first.failed, at)))
	if !proven {
		return unprovenThreshold.reachedBy(endpoints, chain, crashed) && at.Sub(first.learned) >= settleTime
	}
	// While no run completes at all, nothing tells one part from the others.
	return provenThreshold.reachedBy(endpoints, chain, crashed) && t.completed.After(first.failed)
}

// coversMost reports whether a sorted list contains two thirds of the endpoints of another. It may lack some whose crashes have not been
// reported yet.
func coversMost(list, endpoints []EndpointHash) bool {
	n := 0
	for _, e := range endpoints {
		if _, found := slices.BinarySearch(list, e); found {
			n++
		}
	}
	return 3*n >= 2*len(endpoints)
}

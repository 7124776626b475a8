package quarantine

import (
	"slices"
	"time"
)

// Bounds of the evidence that is kept.
const (
	// maxCrashes is how many crashes are kept; the oldest are dropped first.
	maxCrashes = 256
	// crashLifetime is how long a crash counts as evidence.
	crashLifetime = time.Minute
	// maxParts bounds the parts of one crash or hold. If a prompt has more, those that are known to be sound are dropped first.
	maxParts = 16
)

// crash is a run that broke off before its endpoint had answered, or when the answer had just begun. Its parts are suspects. Several runs
// with the same parts at one endpoint incarnation are one crash.
type crash struct {
	endpoint EndpointHash
	parts    []PartID
	// sent is when the latest of the runs was sent, failed when the first of them broke off, learned when this instance heard of it.
	sent, failed, learned time.Time
	// shares is in how many more reports the crash is sent to the peers.
	shares int
}

// crashLog holds crashes in the order in which they failed.
type crashLog struct {
	crashes []*crash
}

// add adds a crash unless it is known, and drops what is too old or too much. It reports whether the crash is new.
func (l *crashLog) add(c *crash) bool {
	for _, known := range l.crashes {
		if known.endpoint == c.endpoint && slices.Equal(known.parts, c.parts) {
			if c.sent.After(known.sent) {
				known.sent = c.sent
			}
			return false
		}
	}
	i, _ := slices.BinarySearchFunc(l.crashes, c.failed, func(x *crash, at time.Time) int { return x.failed.Compare(at) })
	l.crashes = slices.Insert(l.crashes, i, c)
	if len(l.crashes) > maxCrashes {
		l.crashes = slices.Delete(l.crashes, 0, len(l.crashes)-maxCrashes)
	}
	return true
}

// dropBefore drops the crashes at an endpoint that failed before a time, and reports whether there were any.
func (l *crashLog) dropBefore(e EndpointHash, at time.Time) bool {
	n := len(l.crashes)
	l.crashes = slices.DeleteFunc(l.crashes, func(c *crash) bool { return c.endpoint == e && c.failed.Before(at) })
	return len(l.crashes) < n
}

// expire drops the crashes that are too old, and reports whether there were any.
func (l *crashLog) expire(now time.Time) bool {
	n := len(l.crashes)
	l.crashes = slices.DeleteFunc(l.crashes, func(c *crash) bool { return now.Sub(c.failed) > crashLifetime })
	return len(l.crashes) < n
}

// with returns the crashes that a predicate accepts and that have a part.
func (l *crashLog) with(p PartID, accept func(*crash) bool) []*crash {
	var list []*crash
	for _, c := range l.crashes {
		if _, found := slices.BinarySearch(c.parts, p); found && accept(c) {
			list = append(list, c)
		}
	}
	return list
}

// endpointsOf returns the endpoint incarnations of crashes, sorted.
func endpointsOf(crashes []*crash) []EndpointHash {
	list := make([]EndpointHash, 0, len(crashes))
	for _, c := range crashes {
		list = append(list, c.endpoint)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// chainLength returns how many crashes of different endpoints follow each other such that each of the runs was sent after the crash
// before. Crashes that happen together, as when many endpoints are killed, count once.
func chainLength(crashes []*crash) int {
	var chain []EndpointHash
	var last time.Time
	for _, c := range crashes {
		if len(chain) > 0 && !c.sent.After(last) || slices.Contains(chain, c.endpoint) {
			continue
		}
		chain, last = append(chain, c.endpoint), c.failed
	}
	return len(chain)
}

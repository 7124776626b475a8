package membership

import "time"

// The store bills every call, also those that it rejects, and limits the calls per second of all instances together. The
// intervals below therefore grow with the number of instances, within the bounds of the platform's contracts.

// interval returns the interval between the calls of each instance at which all instances together make perSecond calls per
// second. The result is limited to the range from minimum to maximum.
func interval(instances, perSecond int, minimum, maximum time.Duration) time.Duration {
	return min(max(time.Duration(instances)*time.Second/time.Duration(perSecond), minimum), maximum)
}

// Bounds of the back-off after a failed call.
const (
	// InitialBackoff is the back-off after the first failed call. It doubles with each further one up to MaxBackoff.
	InitialBackoff = 50 * time.Millisecond
	// timeoutBackoff bounds the back-off after a call that timed out. Together with the timeout it stays under a second, so that the
	// end of a store outage is noticed in time.
	timeoutBackoff = 250 * time.Millisecond
	// retriesPerSecond is how many calls per second all instances together make for one table while the store rejects them.
	retriesPerSecond = 100
	// LongestBackoff bounds the back-off of any number of instances. Together with the grace period of entries after an outage it
	// stays under the 3 s after which an instance counts as connected to the store again.
	LongestBackoff = 800 * time.Millisecond
	// maxRejectionTime is how long a rejected call takes at most. A call that takes longer has timed out.
	maxRejectionTime = 200 * time.Millisecond
)

// MaxBackoff returns the longest back-off after a failed call that took the given time, for an instance among the given number of
// instances.
func MaxBackoff(instances int, took time.Duration) time.Duration {
	if took > maxRejectionTime {
		return timeoutBackoff
	}
	return interval(instances, retriesPerSecond, timeoutBackoff, LongestBackoff)
}

// Bounds of the delay before the next feed call, in which changes are batched. Without it, each single change would cost one call
// per instance.
const (
	// feedsPerSecond is how many feed calls per second with changes all instances together make for one table. It keeps the feeds of
	// the tables that change to about a tenth of the store's smallest read rate, 2,000 a second.
	feedsPerSecond = 160
	// MaxBatchDelay leaves three quarters of the 2 s within which a leaving endpoint or a new configuration must be applied.
	MaxBatchDelay = 500 * time.Millisecond
)

// BatchDelay returns how long an instance among the given number of instances waits for more changes before its next feed call.
func BatchDelay(instances int) time.Duration {
	return interval(instances, feedsPerSecond, 0, MaxBatchDelay)
}

// Bounds of how long the store holds a feed call open while there are no changes. The kernel's keep-alive probes close a
// connection that no longer answers within 3 s. The length of the wait also limits how long an instance waits for an answer
// that was lost although the connection is alive.
const (
	minFeedWait = 3500 * time.Millisecond
	maxFeedWait = 10 * time.Second
	// idleFeedsPerSecond is how many feed calls per second without changes all instances together make for one table.
	idleFeedsPerSecond = 8
)

// FeedWait returns how long the store may hold open a feed call of an instance among the given number of instances.
func FeedWait(instances int) time.Duration {
	return interval(instances, idleFeedsPerSecond, minFeedWait, maxFeedWait)
}

// Bounds of how often an instance writes its usage counts to the store. A killed instance loses the counts since its last write.
// The more instances share the load, the fewer counts that is, so the interval may grow with their number.
const (
	minUsageWriteInterval = time.Second
	// maxUsageWriteInterval is shorter than a usage window.
	maxUsageWriteInterval = 4 * time.Second
	// usageWritesPerSecond is how many of these writes all instances together make per second.
	usageWritesPerSecond = 10
)

// UsageWriteInterval returns the interval at which an instance among the given number of instances writes its usage counts.
func UsageWriteInterval(instances int) time.Duration {
	return interval(instances, usageWritesPerSecond, minUsageWriteInterval, maxUsageWriteInterval)
}

package membership

import "time"

// Calls to the store are billed, also those that it rejects, and it takes so many a second of all instances together. The intervals
// below grow with the number of instances for that, within the bounds of the platform's contracts.

// interval divides a rate that all instances share among so many of them, within bounds.
func interval(instances, perSecond int, atLeast, atMost time.Duration) time.Duration {
	return min(max(time.Duration(instances)*time.Second/time.Duration(perSecond), atLeast), atMost)
}

// Bounds of the backoff after a call that failed.
const (
	// FirstBackoff is the first one; it doubles up to MaxBackoff.
	FirstBackoff = 50 * time.Millisecond
	// timeoutBackoff bounds the backoff after a call that timed out: with the timeout it stays under a second, so that the store's
	// return is noticed in time.
	timeoutBackoff = 250 * time.Millisecond
	// retriesPerSecond is how many calls of one table all instances together make a second while the store rejects them.
	retriesPerSecond = 100
	// LongestBackoff is the longest of all: with the time that entries have to come back after an outage it stays under the 3 s
	// after which an instance counts as in touch again.
	LongestBackoff = 800 * time.Millisecond
	// rejectedWithin is what a call takes at most that was rejected and did not time out.
	rejectedWithin = 200 * time.Millisecond
)

// MaxBackoff bounds the backoff of one of so many instances after a call that failed after a time.
func MaxBackoff(instances int, took time.Duration) time.Duration {
	if took > rejectedWithin {
		return timeoutBackoff
	}
	return interval(instances, retriesPerSecond, timeoutBackoff, LongestBackoff)
}

// Bounds of the delay before the next feed, in which changes are batched. Each change that all instances ask for by itself costs as
// many calls as there are instances.
const (
	// feedsPerSecond is how many feeds with changes all instances together make of one table: a tenth of the smallest read rate of
	// the store, 2,000 a second, over the tables that change.
	feedsPerSecond = 160
	// maxBatchDelay leaves three quarters of the 2 s in which a leaving endpoint or a new configuration has to be heeded.
	maxBatchDelay = 500 * time.Millisecond
)

// BatchDelay is how long one of so many instances waits for more changes before the next feed.
func BatchDelay(instances int) time.Duration {
	return interval(instances, feedsPerSecond, 0, maxBatchDelay)
}

// Bounds of how long the store holds a feed without changes. The kernel's probes end a connection that no longer answers within 3 s;
// the wait bounds how long an answer is missed that was lost on a connection that lives.
const (
	feedWaitAtLeast = 3500 * time.Millisecond
	feedWaitAtMost  = 10 * time.Second
	// idleFeedsPerSecond is how many feeds without changes all instances together make a second of one table.
	idleFeedsPerSecond = 8
)

// FeedWait is how long one of so many instances lets the store hold a feed.
func FeedWait(instances int) time.Duration {
	return interval(instances, idleFeedsPerSecond, feedWaitAtLeast, feedWaitAtMost)
}

// Bounds of how often usage counts go to the store. A kill loses what was counted since the last write: the more instances there are,
// the less one loses.
const (
	usageWriteAtLeast = time.Second
	// usageWriteAtMost is under the length of a usage window.
	usageWriteAtMost = 4 * time.Second
	// usageWritesPerSecond is how many of these writes all instances together make a second.
	usageWritesPerSecond = 10
)

// UsageWriteInterval is how often one of so many instances writes its usage counts.
func UsageWriteInterval(instances int) time.Duration {
	return interval(instances, usageWritesPerSecond, usageWriteAtLeast, usageWriteAtMost)
}

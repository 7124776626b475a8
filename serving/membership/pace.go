package membership

import "time"

// Calls to the store are billed, also those that it turns away, and it takes so many a second of all instances together. The paces
// below grow with the number of instances for that, within the bounds of the platform's contracts.

// Bounds of the pause between two calls that fail.
const (
	// RetryAtFirst is the first pause; it doubles up to RetryPause.
	RetryAtFirst = 50 * time.Millisecond
	// retryAfterWait bounds the pause after a call that waited in vain: with the wait it stays under a second, so that the
	// store's return is noticed in time.
	retryAfterWait = 250 * time.Millisecond
	// retriesPerSecond is how many calls of one table all instances together make a second while the store turns them away.
	retriesPerSecond = 100
	// RetryAtMost is the longest pause: with the time that entries have to come back after an outage it stays under the 3 s
	// after which an instance counts as in touch again.
	RetryAtMost = 800 * time.Millisecond
	// quickFailure is what a call takes at most that was turned away and did not wait in vain.
	quickFailure = 200 * time.Millisecond
)

// RetryPause bounds the pause of one of so many instances after a call that failed after a time.
func RetryPause(instances int, took time.Duration) time.Duration {
	if took > quickFailure {
		return retryAfterWait
	}
	return min(max(time.Duration(instances)*time.Second/retriesPerSecond, retryAfterWait), RetryAtMost)
}

// Bounds of how long changes of a table are gathered before the next feed. Each change that all instances ask for by itself costs
// as many calls as there are instances.
const (
	// feedsPerSecond is how many feeds with changes all instances together make of one table: a tenth of the smallest read rate of
	// the store, 2,000 a second, over the tables that change.
	feedsPerSecond = 160
	// gatherAtMost leaves three quarters of the 2 s in which a leaving endpoint or a new configuration has to be heeded.
	gatherAtMost = 500 * time.Millisecond
)

// GatherTime is how long one of so many instances gathers changes.
func GatherTime(instances int) time.Duration {
	return min(time.Duration(instances)*time.Second/feedsPerSecond, gatherAtMost)
}

// Bounds of how long the store holds a feed without changes. The kernel's probes end a connection that has fallen silent within 3 s;
// the wait bounds how long an answer is missed that was lost on a connection that lives.
const (
	feedWaitAtLeast = 3500 * time.Millisecond
	feedWaitAtMost  = 10 * time.Second
	// idleFeedsPerSecond is how many feeds without changes all instances together make a second of one table.
	idleFeedsPerSecond = 8
)

// FeedWait is how long one of so many instances lets the store hold a feed.
func FeedWait(instances int) time.Duration {
	return min(max(time.Duration(instances)*time.Second/idleFeedsPerSecond, feedWaitAtLeast), feedWaitAtMost)
}

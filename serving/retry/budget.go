// Package retry bounds how many requests are sent again.
package retry

import (
	"sync"
	"time"
)

// buckets is the number of buckets that are kept, each a twentieth of the sliding window long. Together they are one bucket longer
// than the window, because the current bucket is not over yet: each retry must count for at least a window.
const buckets = 21

// requestBuckets is the number of buckets whose requests count: those of the last half window. The bound over all instances
// compares the retries in a window with the requests in that window, in the window that ends half a window earlier or in the one
// that ends a window earlier. As long as a retry counts, one of these contains the whole half window before the retry.
const requestBuckets = (buckets - 1) / 2

// Budget bounds the retries of the requests to one service within a sliding window: to a ratio of the requests, plus this
// instance's share of a slack that is common to all instances. A retry is any send of a request after its first. It is safe for
// concurrent use.
type Budget struct {
	bucket time.Duration
	ratio  float64

	mu       sync.Mutex
	slack    float64
	requests [buckets]int
	retries  [buckets]int
	// current is the number of the current bucket since the Unix epoch; its index is the remainder by buckets.
	current int64
}

// NewBudget returns the budget of one service. The slack is this instance's share.
func NewBudget(window time.Duration, ratio, slack float64) *Budget {
	return &Budget{bucket: window / (buckets - 1), ratio: ratio, slack: slack}
}

// SetBounds changes the ratio of the requests, and this instance's share of the slack, which depends on the number of instances.
func (b *Budget) SetBounds(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack = ratio, slack
}

// CountRequest counts a request of a client, which adds to the budget.
func (b *Budget) CountRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.requests[b.current%buckets]++
}

// TakeRetry takes one retry from the budget and reports whether the budget allowed it.
func (b *Budget) TakeRetry(now time.Time) bool {
	return b.TakeRetries(now, 1)
}

// TakeRetries takes n retries from the budget, or none, and reports whether the budget allowed them.
func (b *Budget) TakeRetries(now time.Time, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if !b.allows(n) {
		return false
	}
	b.retries[b.current%buckets] += n
	return true
}

// Renew moves a retry that was taken earlier to now, when it is made. If it no longer counts, another one is taken. It reports whether there
// is one.
func (b *Budget) Renew(taken, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	n := taken.UnixNano() / int64(b.bucket)
	if n > b.current-buckets && b.retries[n%buckets] > 0 {
		b.retries[n%buckets]--
	} else if !b.allows(1) {
		return false
	}
	b.retries[b.current%buckets]++
	return true
}

// advance moves on to the bucket of now and empties the buckets that have left the window.
func (b *Budget) advance(now time.Time) {
	current := now.UnixNano() / int64(b.bucket)
	if current <= b.current {
		return
	}
	for i := max(b.current+1, current-buckets+1); i <= current; i++ {
		b.requests[i%buckets], b.retries[i%buckets] = 0, 0
	}
	b.current = current
}

// CanRetry reports whether TakeRetry would succeed. It takes nothing from the budget.
func (b *Budget) CanRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return b.allows(1)
}

// Usage returns how many retries the window holds and how many it allows. It takes nothing from the budget.
func (b *Budget) Usage(now time.Time) (retries int, allowed float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return b.usage()
}

// allows reports whether n more retries are within the bound. The caller must hold the lock.
func (b *Budget) allows(n int) bool {
	retries, allowed := b.usage()
	return float64(retries+n) <= allowed
}

// usage returns what Usage does. The caller must hold the lock.
func (b *Budget) usage() (retries int, allowed float64) {
	requests := 0
	for i := range requestBuckets {
		requests += b.requests[(b.current+buckets-int64(i))%buckets]
	}
	for _, n := range b.retries {
		retries += n
	}
	return retries, b.ratio*float64(requests) + b.slack
}

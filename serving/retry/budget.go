// Package retry bounds how many requests are sent once more.
package retry

import (
	"sync"
	"time"
)

// buckets is how finely the window slides. The sends of all buckets count, as they are together one longer than the window.
const buckets = 21

// recent is how many buckets' requests count: half a window. The bound on all instances counts the requests of a window, the
// one before or the one half a window before. While a send counts, one of these holds the half before the send.
const recent = (buckets - 1) / 2

// Budget bounds the sends beyond the first of each request to one service within a sliding window: a ratio of the
// requests and a share of the slack that all instances have together. It is safe for concurrent use.
type Budget struct {
	bucket time.Duration
	ratio  float64

	mu       sync.Mutex
	slack    float64
	requests [buckets]int
	extra    [buckets]int
	at       int64
}

// NewBudget returns the budget of one service.
func NewBudget(window time.Duration, ratio, slack float64) *Budget {
	return &Budget{bucket: window / (buckets - 1), ratio: ratio, slack: slack}
}

// SetBounds changes the ratio of the requests, and this instance's share of the slack, as instances come and go.
func (b *Budget) SetBounds(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack = ratio, slack
}

// Request counts a request of a client.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.requests[b.at%buckets]++
}

// Extra takes one send beyond the first from the budget and tells whether there was one left.
func (b *Budget) Extra(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if !b.left() {
		return false
	}
	b.extra[b.at%buckets]++
	return true
}

// advance empties the buckets that have left the window.
func (b *Budget) advance(now time.Time) {
	at := now.UnixNano() / int64(b.bucket)
	if at <= b.at {
		return
	}
	for i := max(b.at+1, at-buckets+1); i <= at; i++ {
		b.requests[i%buckets], b.extra[i%buckets] = 0, 0
	}
	b.at = at
}

// Left tells whether Extra would find a send left.
func (b *Budget) Left(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return b.left()
}

// left tells whether one more send is within the bound. The caller holds the lock.
func (b *Budget) left() bool {
	requests, extra := 0, 0
	for i := range recent {
		requests += b.requests[(b.at+buckets-int64(i))%buckets]
	}
	for _, n := range b.extra {
		extra += n
	}
	return float64(extra+1) <= b.ratio*float64(requests)+b.slack
}

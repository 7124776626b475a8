// Package intake decides which bodies of requests an instance takes into its memory, so that all of them together stay below a budget. A
// body's bytes are reserved before it is read and returned when its request has ended. What does not fit waits for a short time if room
// comes soon, and is refused otherwise.
package intake

import (
	"sync"
	"time"

	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

// SmallBytes is the size up to which a body counts as small.
const SmallBytes = 64 << 10

const (
	// smallShare is the fraction of the budget, as a divisor, that only small bodies may take.
	smallShare = 8
	// maxWait bounds how long a body waits for room.
	maxWait = 400 * time.Millisecond
	// waitShare is the fraction of the time that the caller allows, as a divisor, that its body may wait.
	waitShare = 8
)

// Budget is the memory of an instance for the bodies of requests. It is safe for concurrent use.
//
// Large bodies never take the part that is kept for small ones. Among those that wait, the body of the workspace that holds the least goes
// first, so that a workspace that fills the budget does not keep others out. A body that exceeds the budget by itself is taken while no other
// large one is held.
type Budget struct {
	clock clockwork.Clock
	limit int64

	mu sync.Mutex
	// small and large are the bytes that bodies of each class hold.
	small, large int64
	// held is what each workspace holds; those that hold nothing have no entry.
	held    map[wire.WorkspaceName]int64
	waiting []*claim
	// smallTurnover and largeTurnover tell for how long bodies of each class are held.
	smallTurnover, largeTurnover turnover
}

// New returns a budget of limit bytes.
func New(clock clockwork.Clock, limit int64) *Budget {
	return &Budget{clock: clock, limit: limit, held: map[wire.WorkspaceName]int64{}}
}

// Held returns how many bytes are held.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.small + b.large
}

// Waiting returns how many bodies wait for room.
func (b *Budget) Waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting)
}

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int64 {
	return b.limit
}

// Hold returns an account for the body of one request, which holds nothing yet. timeout is how long the caller allows for the request, or 0
// if it does not say.
func (b *Budget) Hold(w wire.WorkspaceName, timeout time.Duration) *Hold {
	wait := maxWait
	if timeout > 0 {
		wait = min(wait, timeout/waitShare)
	}
	return &Hold{budget: b, workspace: w, wait: wait}
}

// reserved returns the bytes that only small bodies may take.
func (b *Budget) reserved() int64 {
	return b.limit / smallShare
}

// claim is a hold's wish to have n bytes in all.
type claim struct {
	hold *Hold
	n    int64
	// granted is closed once the hold has them.
	granted chan struct{}
}

// isLarge reports whether a body of n bytes counts as large.
func isLarge(n int64) bool {
	return n > SmallBytes
}

// fits reports whether a claim can be granted now.
func (b *Budget) fits(c *claim) bool {
	small, large := b.small, b.large
	if isLarge(c.hold.n) {
		large -= c.hold.n
	} else {
		small -= c.hold.n
	}
	if !isLarge(c.n) {
		return small+c.n <= b.reserved() || small+large+c.n <= b.limit && !b.largeWaits()
	}
	room := b.limit - b.reserved()
	if c.n > room {
		return large == 0 && small <= b.reserved()
	}
	return large+c.n <= room && small+large+c.n <= b.limit
}

// largeWaits reports whether a large body waits.
func (b *Budget) largeWaits() bool {
	for _, c := range b.waiting {
		if isLarge(c.n) {
			return true
		}
	}
	return false
}

// first returns the index of the waiting claim of a class that is next, or -1 if none waits.
func (b *Budget) first(large bool) int {
	first := -1
	for i, c := range b.waiting {
		if isLarge(c.n) == large && (first < 0 || b.held[c.hold.workspace] < b.held[b.waiting[first].hold.workspace]) {
			first = i
		}
	}
	return first
}

// grant grants the claims that fit, in order.
func (b *Budget) grant() {
	for _, large := range []bool{true, false} {
		for i := b.first(large); i >= 0 && b.fits(b.waiting[i]); i = b.first(large) {
			c := b.waiting[i]
			b.remove(c)
			b.set(c.hold, c.n)
			close(c.granted)
		}
	}
}

// remove takes a claim out of those that wait.
func (b *Budget) remove(c *claim) {
	for i, other := range b.waiting {
		if other == c {
			b.waiting = append(b.waiting[:i:i], b.waiting[i+1:]...)
			return
		}
	}
}

// set changes what a hold has.
func (b *Budget) set(h *Hold, n int64) {
	b.add(h.workspace, h.n, -h.n)
	b.add(h.workspace, n, n)
	if h.n == 0 {
		h.since = b.clock.Now()
	} else if n == 0 {
		b.turnover(h.n).record(b.clock.Since(h.since))
	}
	h.n = n
}

// turnover returns that of the class of a body of n bytes.
func (b *Budget) turnover(n int64) *turnover {
	if isLarge(n) {
		return &b.largeTurnover
	}
	return &b.smallTurnover
}

// timeFor returns in what time room for a claim that waits is expected, if that is known.
func (b *Budget) timeFor(c *claim, missing int64) (d time.Duration, known bool) {
	held := b.small
	if isLarge(c.n) {
		held = b.large
	}
	return b.turnover(c.n).timeFor(missing, held)
}

// add adds delta bytes to what bodies of the class of size hold, and to what their workspace holds.
func (b *Budget) add(w wire.WorkspaceName, size, delta int64) {
	if isLarge(size) {
		b.large += delta
	} else {
		b.small += delta
	}
	b.held[w] += delta
	if b.held[w] == 0 {
		delete(b.held, w)
	}
}

// missing returns how many bytes have to be returned until a waiting claim is granted, with those that go before it.
func (b *Budget) missing(c *claim) int64 {
	room, taken := min(b.limit-b.reserved(), b.limit-b.small), b.large
	if !isLarge(c.n) {
		room, taken = b.limit-b.large, b.small
		if b.largeWaits() {
			room = min(room, b.reserved())
		}
	}
	need := taken - room
	for _, other := range b.waiting {
		ahead := b.held[other.hold.workspace] <= b.held[c.hold.workspace]
		if other == c || isLarge(other.n) == isLarge(c.n) && ahead {
			need += min(other.n, b.limit-b.reserved()) - other.hold.n
		}
	}
	return max(need, 0)
}

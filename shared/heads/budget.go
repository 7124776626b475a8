// Package heads bounds what the heads of requests hold in memory before net/http has parsed them, and how many connections callers have
// open. The bounds cover all connections of all listeners that one Budget guards.
//
// net/http bounds the bytes of a head, but not the memory that it takes: a head of many short fields takes nine times its bytes, and all
// heads together have no bound.
package heads

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// byteCost is what a byte of a head holds: its copy in a line, and what is garbage meanwhile.
	byteCost = 2
	// fieldCost is what each line holds besides its bytes: its key and value, and its place in a map that grows by doubling. A head of
	// 56 KB of short fields was measured to hold 491 KB.
	fieldCost = 160
	// ordinaryCost is the cost up to which a head counts as ordinary: a head of 4 KB with 50 fields costs as much.
	ordinaryCost = 16 << 10
	// ordinaryReserve is the share of the budget, as a divisor, that is left to ordinary heads.
	ordinaryReserve = 4
	// defaultStall is for how long a write of an answer has to be blocked before its connection is closed for a new one.
	defaultStall = 10 * time.Second
	// retryAfter is when a caller that was refused for the bounds of this package should return.
	retryAfter = time.Second
)

// Limits bound one head.
type Limits struct {
	// MaxBytes is the longest head, with the request line; Timeout the longest time from its first byte to its last.
	MaxBytes int64
	Timeout  time.Duration
}

// Reason is why a head was refused or a connection closed.
type Reason string

// The reasons for which a Budget refuses or closes.
const (
	// TooLarge is a head over the limit.
	TooLarge Reason = "HeadTooLarge"
	// TooSlow is a head that was not complete in time.
	TooSlow Reason = "HeadTooSlow"
	// Framing is a head that says in two ways where its body ends.
	Framing Reason = "TwoFramings"
	// Memory is a head that was refused as heads fill the budget.
	Memory Reason = "HeadMemory"
	// Unread is an answer that the caller does not read while there are too many connections.
	Unread Reason = "AnswerUnread"
	// Connections is a connection that was closed as there are too many.
	Connections Reason = "Connections"
)

// Refusal is one decision of a Budget. If Silent is set, nothing was read and the connection is closed without an answer.
type Refusal struct {
	Remote     net.Addr
	Reason     Reason
	Silent     bool
	RetryAfter time.Duration
	// Cost is the memory that the head held, Held what all heads held.
	Cost, Held int64
	// Open is the number of connections.
	Open int
}

// Budget bounds the heads of all guarded servers. It is safe for concurrent use.
type Budget struct {
	maxCost  int64
	maxConns int
	// encode returns a response for a refusal, observe is told of each.
	encode  func(Refusal) []byte
	observe func(Refusal)
	stall   time.Duration
	// held is the cost of all heads.
	held atomic.Int64

	mu sync.Mutex
	// open are the connections that are not closed yet, also those that linger for a caller to read its refusal.
	open map[*conn]struct{}
	// leaving is the number of connections that were told to close.
	leaving int
}

// Option changes a Budget.
type Option func(*Budget)

// WithStall sets for how long a write of an answer has to be blocked before its connection may be closed for a new one.
func WithStall(d time.Duration) Option {
	return func(b *Budget) { b.stall = d }
}

// New returns a budget of maxCost bytes for the heads of at most maxConns connections. encode returns the response of a refusal, and observe
// is called with each refusal; it must not block.
func New(maxCost int64, maxConns int, encode func(Refusal) []byte, observe func(Refusal), options ...Option) *Budget {
	b := &Budget{maxCost: maxCost, maxConns: maxConns, encode: encode, observe: observe, stall: defaultStall, open: map[*conn]struct{}{}}
	for _, o := range options {
		o(b)
	}
	return b
}

// Held returns the cost of the heads that are held.
func (b *Budget) Held() int64 {
	return b.held.Load()
}

// Open returns the number of connections.
func (b *Budget) Open() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.open)
}

// group is the connections of one server.
type group struct {
	budget *Budget
	// maxConns bounds the connections of this server.
	maxConns int
	limits   func() Limits
	open     int
}

// Guard returns a function that wraps the listeners of srv, whose connections count against the budget; at most maxConns of them are open. limits
// returns the limits for heads that begin now. Guard sets the ConnState of srv, after which it calls the present one.
func (b *Budget) Guard(srv *http.Server, maxConns int, limits func() Limits) func(net.Listener) net.Listener {
	g := &group{budget: b, maxConns: maxConns, limits: limits}
	previous := srv.ConnState
	srv.ConnState = func(c net.Conn, state http.ConnState) {
		if guarded := find(c); guarded != nil {
			guarded.setState(state)
		}
		if previous != nil {
			previous(c, state)
		}
	}
	return func(l net.Listener) net.Listener { return &listener{Listener: l, group: g} }
}

// charge adds n to the cost of a head that c reads, and reports whether there is room for it. Once only the reserve is left, the largest head is
// refused, unless all are ordinary.
func (b *Budget) charge(c *conn, n int64) bool {
	cost, held := c.cost.Add(n), b.held.Add(n)
	if held <= b.maxCost-b.maxCost/ordinaryReserve {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	largest, largestCost := c, cost
	for other := range b.open {
		if otherCost := other.cost.Load(); otherCost > largestCost && other.evictable() {
			largest, largestCost = other, otherCost
		}
	}
	evicted := largest != c && largestCost > ordinaryCost && b.leaving < maxLeaving && b.evict(largest, Memory)
	return (evicted || cost <= ordinaryCost) && b.held.Load() <= b.maxCost
}

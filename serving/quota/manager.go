package quota

import (
	"fmt"
	"sync"
	"time"

	"cowslipshunt.example/serving/membership"
	"cowslipshunt.example/serving/route"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

// RefusedError is why a request that is over the quota of its workspace does not run.
type RefusedError struct {
	Workspace wire.WorkspaceName
	// RetryAfter is when the workspace has tokens again, with jitter.
	RetryAfter time.Duration
	// Level is the last known level of the bucket, Cost that of the request, both in Unit.
	Level, Cost float64
	Unit        route.Unit
	// Local is set if the instance decided by itself, as its coordinator did not answer.
	Local bool
}

// Error returns a message for logs and clients.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the quota of workspace %q is used up: the level is %.0f, the request costs %.0f %v", e.Workspace, e.Level, e.Cost, e.Unit)
}

// Network is how a Manager reaches the other instances.
type Network interface {
	// Instances returns the live instances, without this one.
	Instances() []membership.Peer
	// Send sends a packet to an instance. It may be lost.
	Send(address string, p *Packet)
}

// Manager decides on an instance's requests, and is the coordinator of some workspaces for its failure domain. It is safe for concurrent use.
type Manager struct {
	self        membership.Peer
	incarnation wire.IncarnationId
	network     Network
	// clock runs time-outs. now also counts the time in which the machine is suspended.
	clock   clockwork.Clock
	now     func() time.Time
	window  time.Duration
	started time.Time

	mu           sync.Mutex
	quotas       map[wire.WorkspaceName]route.Quota
	accounts     map[wire.WorkspaceName]*account
	coordinators map[wire.WorkspaceName]*coordinator
	peers        membershipView
	number       uint64
	asked        map[uint64]*askedRequest
	// out holds the packets that are sent once mu is unlocked.
	out map[string]*Packet
}

// askedRequest is an ask whose answer may still come.
type askedRequest struct {
	number  uint64
	account *account
	cost    float64
	at      time.Time
	// sent is what the account had reported before in its term.
	sent float64
	term uint64
	// answer receives the answer, or the zero Answer if it came too late to be valid; nil if no request waits for it.
	answer chan Answer
	// abandoned is set once the request no longer waits, and the ask was cancelled.
	abandoned bool
}

// Option is an optional setting of New.
type Option func(*Manager)

// WithNow sets the clock by which grants expire. It should count the time in which the machine is suspended.
func WithNow(now func() time.Time) Option {
	return func(m *Manager) {
		m.now = now
	}
}

// New returns the manager of an instance. The window is the time span over which the platform sums up what a workspace has spent.
func New(self membership.Peer, id wire.IncarnationId, n Network, clock clockwork.Clock, window time.Duration, opts ...Option) *Manager {
	m := &Manager{
		self: self, incarnation: id, network: n, clock: clock, now: clock.Now, window: window,
		quotas:       map[wire.WorkspaceName]route.Quota{},
		accounts:     map[wire.WorkspaceName]*account{},
		coordinators: map[wire.WorkspaceName]*coordinator{},
		asked:        map[uint64]*askedRequest{},
		out:          map[string]*Packet{},
	}
	for _, opt := range opts {
		opt(m)
	}
	m.started = m.now()
	return m
}

// SetQuotas puts the quotas of a configuration in force. Those of workspaces without a limit must be left out.
func (m *Manager) SetQuotas(quotas map[wire.WorkspaceName]route.Quota) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.quotas = quotas
	for name, q := range quotas {
		m.account(name, q, now)
		if c := m.coordinators[name]; c != nil {
			c.advance(now, m.peers.alive)
			c.setQuota(q, now)
		}
	}
	for name := range m.accounts {
		if _, ok := quotas[name]; !ok {
			delete(m.accounts, name)
			delete(m.coordinators, name)
		}
	}
	m.peers.updated = time.Time{}
}

// account returns the account of a workspace.
func (m *Manager) account(name wire.WorkspaceName, q route.Quota, now time.Time) *account {
	a := m.accounts[name]
	if a == nil {
		a = &account{workspace: name, answeredAt: now}
		m.accounts[name] = a
	}
	a.quota = q
	return a
}

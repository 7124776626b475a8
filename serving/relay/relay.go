package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"cowslipshunt.example/serving/retry"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/serving/route"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

// Meter counts the requests that began to run.
type Meter interface {
	Began(w wire.WorkspaceName)
}

// Observer is told of each decision on a request, and of failure domains that are lost and regained.
type Observer interface {
	Decided(d Decision)
	// DomainCut tells that a failure domain is avoided for a pause, as its endpoints are out of reach.
	DomainCut(d wire.DomainName, pause time.Duration)
	// DomainReached tells that an endpoint of such a domain has answered.
	DomainReached(d wire.DomainName)
}

// Decision is one decision on a request with what decided it.
type Decision struct {
	Request   wire.RequestId
	Step      string
	Route     string
	Workspace wire.WorkspaceName
	Endpoint  wire.EndpointId
	// Version is the configuration in force.
	Version route.Version
	// Attempt counts the sends so far.
	Attempt int
	// Age is the time since the request arrived, Left what is left until its deadline.
	Age, Left time.Duration
	// Waiting and Unread are the tokens that waited at the endpoint when it was chosen, and those of this prompt that it was
	// thought to have to read.
	Waiting, Unread int
	// Pause is for how long the endpoint is avoided from now on; 0 changes nothing.
	Pause  time.Duration
	Status int
	Reason string
	Err    error
}

// BudgetBounds bound the sends beyond the first over all instances.
type BudgetBounds struct {
	Window time.Duration
	Ratio  float64
	// Slack is the part of all instances' slack that this one may use.
	Slack float64
}

// Relay runs requests.
type Relay struct {
	directory *roster.Directory
	sender    Sender
	meter     Meter
	observer  Observer
	clock     clockwork.Clock
	domain    wire.DomainName
	bounds    BudgetBounds
	reach     *roster.Reach

	// learned is told which parts of prompts an endpoint newly keeps.
	learned func(id wire.EndpointId, parts []roster.PartID)

	table   atomic.Pointer[route.Table]
	mu      sync.Mutex
	budgets map[wire.ServiceName]*retry.Budget
}

// Option changes a relay.
type Option func(*Relay)

// WithLearned sets what is told which parts of prompts an endpoint newly keeps.
func WithLearned(learned func(id wire.EndpointId, parts []roster.PartID)) Option {
	return func(r *Relay) {
		r.learned = learned
	}
}

// New returns a relay that refuses all requests until it has a table.
func New(d *roster.Directory, s Sender, m Meter, o Observer, clock clockwork.Clock, domain wire.DomainName, bounds BudgetBounds, opts ...Option) *Relay {
	r := &Relay{
		directory: d,
		sender:    s,
		meter:     m,
		observer:  o,
		clock:     clock,
		domain:    domain,
		bounds:    bounds,
		reach:     roster.NewReach(),
		budgets:   map[wire.ServiceName]*retry.Budget{},
		learned:   func(wire.EndpointId, []roster.PartID) {},
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// SetTable puts a configuration in force unless a newer one is, and tells whether it did.
func (r *Relay) SetTable(t *route.Table) bool {
	for {
		old := r.table.Load()
		if old != nil && old.Version >= t.Version {
			return false
		}
		if r.table.CompareAndSwap(old, t) {
			return true
		}
	}
}

// Table returns the configuration in force, or nil.
func (r *Relay) Table() *route.Table {
	return r.table.Load()
}

// budget returns the retry budget of a service.
func (r *Relay) budget(name wire.ServiceName) *retry.Budget {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, known := r.budgets[name]
	if !known {
		b = retry.NewBudget(r.bounds.Window, r.bounds.Ratio, r.bounds.Slack)
		r.budgets[name] = b
	}
	return b
}

// SetBudget changes how many sends beyond the first the retry budgets allow for each request, and this instance's part of the slack
// that all instances' budgets have together.
func (r *Relay) SetBudget(ratio, slack float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bounds.Ratio, r.bounds.Slack = ratio, slack
	for _, b := range r.budgets {
		b.SetBounds(ratio, slack)
	}
}

// refuseRetry is when a client should come back to an instance that has no configuration or no endpoint.
const refuseRetry = 500 * time.Millisecond

// Serve runs a request until its caller has an answer. The context ends when the client leaves.
func (r *Relay) Serve(ctx context.Context, req *Request, c Caller) {
	j := &job{relay: r, request: req, caller: c, draw: rand.Uint64()}
	if refusal := j.admit(); refusal != nil {
		j.refuse(*refusal)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	j.budget.Request(r.clock.Now())
	j.run(ctx)
}

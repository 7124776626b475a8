package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"cowslipshunt.example/serving/quarantine"
	"cowslipshunt.example/serving/retry"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/serving/route"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

// Meter counts requests for usage reports.
type Meter interface {
	// Began counts a request of a workspace that runs or may have run. It is called at most once for each request.
	Began(w wire.WorkspaceName)
}

// Observer is notified of each decision on a request, and of failure domains that become unreachable or reachable.
type Observer interface {
	// Decided is called after each decision on a request.
	Decided(d Decision)
	// DomainUnreachable is called when a failure domain is found to be unreachable, and again each time that its pause is renewed. Requests
	// avoid the domain for the pause.
	DomainUnreachable(d wire.DomainName, pause time.Duration)
	// DomainReachable is called when an endpoint of a failure domain that was unreachable has answered.
	DomainReachable(d wire.DomainName)
	// EndpointNoticed is called when an endpoint has said something about itself that is new.
	EndpointNoticed(n Notice)
	// Panicked is called when asking another endpoint for a request has panicked, while the first one still has it.
	Panicked(id wire.RequestId, value any)
}

// The steps that end a request without an endpoint's complete answer.
const (
	StepAborted = "Aborted"
	StepRefused = "Refused"
)

// Decision is one decision on a request with the data that it was based on.
type Decision struct {
	Request wire.RequestId
	// Step names the decision, such as "Answered" or "Retried".
	Step      string
	Route     string
	Workspace wire.WorkspaceName
	// Endpoint is empty if the decision concerns no endpoint.
	Endpoint wire.EndpointId
	// Version is that of the configuration in force.
	Version route.Version
	// Attempt counts the sends so far that may have reached an endpoint; successful prefills are not counted.
	Attempt int
	// Age is the time since the request arrived, Left the time until its deadline.
	Age, Left time.Duration
	// Waiting is how many tokens were queued for prefill at the endpoint when it was chosen, Unread how many tokens of this
	// prompt it was expected to prefill.
	Waiting, Unread int
	// Pause is for how long the endpoint is avoided from now on; 0 means that this decision starts no pause.
	Pause time.Duration
	// Held is for how long the endpoint had the request, if the request ended without a complete answer.
	Held time.Duration
	// Status is the HTTP status of the answer that was decided on, or 0.
	Status int
	// Events is how many events with data a send had yielded that failed, Parts the names of the prompt's shared parts; both are set
	// only for a send that failed after the endpoint may have received it.
	Events int
	Parts  []string
	// Budget is set if the decision depended on the retry budget of the request's service.
	Budget *BudgetUsage
	Reason string
	Err    error
}

// BudgetUsage is the state of a retry budget when a decision was taken.
type BudgetUsage struct {
	// Retries were taken in the window; Allowed is how many it allows.
	Retries int
	Allowed float64
}

// BudgetBounds are the bounds of the retry budget of each service.
type BudgetBounds struct {
	// Window is the length of the sliding window in which requests and retries are counted.
	Window time.Duration
	// Ratio is how many retries each request adds to the budget.
	Ratio float64
	// Slack is this instance's share of the retries that all instances together may make in a window
	// beyond the ratio.
	Slack float64
}

// Relay sends requests to endpoints and passes the answers to their callers. It is safe for concurrent use.
type Relay struct {
	directory    *roster.Directory
	sender       Sender
	meter        Meter
	observer     Observer
	clock        clockwork.Clock
	domain       wire.DomainName
	bounds       BudgetBounds
	reachability *roster.Reachability
	quarantine   *quarantine.Table
	// quota is nil if workspaces have no limits.
	quota Quota
	// rejectedCounts holds the names of the workspaces whose malformed token counts were observed.
	rejectedCounts sync.Map
	// endpointBytes bounds the bytes of requests that an endpoint holds; 0 is no bound. endpointShare is the part that this instance may use
	// whatever its peers hold.
	endpointBytes int64
	endpointShare atomic.Int64

	// reportCached is called with the parts of prompts that an endpoint newly caches.
	reportCached func(id wire.EndpointId, parts []roster.PartID)

	// reportSpeed is called with each sample of an engine's speed, and whether the engine's speed has changed by it.
	reportSpeed func(e *roster.Endpoint, factor float64, changed bool)

	table atomic.Pointer[route.Table]
	// stopAt is when the instance ends; nil until it is about to stop.
	stopAt  atomic.Pointer[time.Time]
	mu      sync.Mutex
	budgets map[wire.ServiceName]*retry.Budget
}

// Option is an optional setting of New.
type Option func(*Relay)

// WithCacheReporter sets a function that is called with the parts of prompts that an endpoint newly caches, so that they can be
// reported to the other instances.
func WithCacheReporter(report func(id wire.EndpointId, parts []roster.PartID)) Option {
	return func(r *Relay) {
		r.reportCached = report
	}
}

// WithSpeedReporter sets a function that is called with each sample of an engine's speed, as a multiple of the nominal one, and with whether
// the engine's speed has changed by it, so that it can be reported to the other instances.
func WithSpeedReporter(report func(e *roster.Endpoint, factor float64, changed bool)) Option {
	return func(r *Relay) {
		r.reportSpeed = report
	}
}

// WithQuarantine sets the table of the prompt parts that crash endpoints, which peers may share.
func WithQuarantine(q *quarantine.Table) Option {
	return func(r *Relay) {
		r.quarantine = q
	}
}

// New returns a relay for an instance in the given failure domain. It refuses all requests until SetTable is called.
func New(d *roster.Directory, s Sender, m Meter, o Observer, clock clockwork.Clock, domain wire.DomainName, bounds BudgetBounds, opts ...Option) *Relay {
	r := &Relay{
		directory:    d,
		sender:       s,
		meter:        m,
		observer:     o,
		clock:        clock,
		domain:       domain,
		bounds:       bounds,
		reachability: roster.NewReachability(),
		quarantine:   quarantine.New(clock),
		budgets:      map[wire.ServiceName]*retry.Budget{},
		reportCached: func(wire.EndpointId, []roster.PartID) {},
		reportSpeed:  func(*roster.Endpoint, float64, bool) {},
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// SetTable puts a configuration in force unless the one in force has the same or a later version, and reports whether it did.
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

// StopAt states when the instance ends. From then on requests are refused whose deadline is later: their answers might be cut.
func (r *Relay) StopAt(end time.Time) {
	r.stopAt.Store(&end)
}

// Table returns the configuration in force, or nil.
func (r *Relay) Table() *route.Table {
	return r.table.Load()
}

// budget returns the retry budget of a service and creates it on first use.
func (r *Relay) budget(name wire.ServiceName) *retry.Budget {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, ok := r.budgets[name]
	if !ok {
		b = retry.NewBudget(r.bounds.Window, r.bounds.Ratio, r.bounds.Slack)
		r.budgets[name] = b
	}
	return b
}

// SetBudget changes the bounds of all retry budgets: how many retries each request adds, and this instance's share of the slack
// of all instances.
func (r *Relay) SetBudget(ratio, slack float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bounds.Ratio, r.bounds.Slack = ratio, slack
	for _, b := range r.budgets {
		b.SetBounds(ratio, slack)
	}
}

// refusalRetryAfter is how long a client should wait before it retries a request that was refused for lack of a configuration, an
// endpoint or retry budget, or because the instance stops.
const refusalRetryAfter = 500 * time.Millisecond

// Serve runs a request and returns when its caller has an answer. The context must end when the client disconnects.
func (r *Relay) Serve(ctx context.Context, req *Request, c Caller) {
	j := &job{relay: r, request: req, caller: c, tieBreak: rand.Uint64()}
	if refusal := j.admit(); refusal != nil {
		j.refuse(*refusal)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer j.settleQuota()
	defer j.handovers.Wait()
	defer cancel()
	if !j.takeQuota(ctx) {
		return
	}
	j.budget.CountRequest(r.clock.Now())
	j.mu.Lock()
	defer j.mu.Unlock()
	j.run(ctx)
	j.ended = true
}

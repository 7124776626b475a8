package relay_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"cowslipshunt.example/serving/placement"
	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/serving/route"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

// The times of the routes of a silent world, which are like those of deployments, and the window of its retry budget.
const (
	worldTimeout  = 6 * time.Second
	worldGoal     = 400 * time.Millisecond
	worldMaxPause = 200 * time.Millisecond
	worldWindow   = 2 * time.Second
)

// budgetChange sets the retry budget at a time.
type budgetChange struct {
	at           time.Duration
	ratio, slack float64
}

// tableChange puts a configuration in force at a time.
type tableChange struct {
	at          time.Duration
	maxAttempts int
}

// worldPlan is all that happens in a silent world. The budget and the configuration begin with the first of their changes.
type worldPlan struct {
	endpoints []*placedEndpoint
	requests  []*plannedRequest
	budget    []budgetChange
	tables    []tableChange
	// leaving is when the platform lists endpoints as leaving, by their index.
	leaving map[int]time.Duration
}

// world is a relay with a silent fleet. It records what the callers get.
type world struct {
	plan  *worldPlan
	fleet *silentFleet
	relay *relay.Relay

	directory *roster.Directory
	callers   map[wire.RequestId]*worldCaller

	mu        sync.Mutex
	metered   map[wire.WorkspaceName]int
	decisions map[wire.RequestId][]string
	panics    []any
}

// worldCaller records what a caller gets.
type worldCaller struct {
	began time.Time
	// slow is how long it takes for each event; left is closed once it is gone.
	slow    time.Duration
	left    <-chan struct{}
	status  int
	body    string
	events  []string
	ended   bool
	aborted bool
	refusal *relay.Refusal
	// finished is when the caller got the end of its answer, served when the relay was done with it.
	finished, served time.Duration
}

func (c *worldCaller) finish() { c.finished = time.Since(c.began) }
func (c *worldCaller) Answer(status int, _ relay.Header, b []byte) {
	c.status, c.body = status, string(b)
	c.finish()
}
func (c *worldCaller) Begin(status int, _ relay.Header) { c.status = status }
func (c *worldCaller) Event(e []byte) error {
	if string(e) == comment {
		return nil
	}
	c.events = append(c.events, string(e))
	if c.slow > 0 {
		select {
		case <-c.left:
			return net.ErrClosed
		case <-time.After(c.slow):
		}
	}
	return nil
}
func (c *worldCaller) End() {
	c.ended = true
	c.finish()
}
func (c *worldCaller) Abort() {
	c.aborted = true
	c.finish()
}
func (c *worldCaller) Refuse(r relay.Refusal) {
	c.refusal = &r
	c.finish()
}

// String describes the answer for a message.
func (c *worldCaller) String() string {
	refusal := ""
	if c.refusal != nil {
		refusal = c.refusal.Verdict.String() + ": " + c.refusal.Reason
	}
	return fmt.Sprintf("status %d, %d events, ended %v, aborted %v, refused %q at %v", c.status, len(c.events), c.ended, c.aborted, refusal, c.finished)
}

func (w *world) Began(name wire.WorkspaceName) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.metered[name]++
}

func (w *world) Decided(d relay.Decision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.decisions[d.Request] = append(w.decisions[d.Request], fmt.Sprintf("%v %s %s: %s (%v)", w.fleet.now(), d.Step, d.Endpoint, d.Reason, d.Err))
}

func (w *world) Panicked(_ wire.RequestId, value any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.panics = append(w.panics, value)
}

func (w *world) DomainUnreachable(wire.DomainName, time.Duration) {}
func (w *world) DomainReachable(wire.DomainName)                  {}
func (w *world) EndpointNoticed(relay.Notice)                     {}

// newWorld returns a world in which nothing has happened yet.
func newWorld(p *worldPlan) *world {
	w := &world{plan: p, directory: roster.NewDirectory(), callers: map[wire.RequestId]*worldCaller{}, metered: map[wire.WorkspaceName]int{},
		decisions: map[wire.RequestId][]string{}}
	w.fleet = &silentFleet{began: time.Now(), endpoints: map[wire.EndpointId]*placedEndpoint{}, requests: map[wire.RequestId]*plannedRequest{}, settled: map[string]bool{}}
	for _, e := range p.endpoints {
		w.fleet.endpoints[e.entry.ID] = e
		w.directory.Put(e.entry)
	}
	for _, r := range p.requests {
		w.fleet.requests[r.ID] = r
		w.callers[r.ID] = &worldCaller{began: w.fleet.began}
	}
	bounds := relay.BudgetBounds{Window: worldWindow, Ratio: p.budget[0].ratio, Slack: p.budget[0].slack}
	w.relay = relay.New(w.directory, w.fleet, w, w, clockwork.NewRealClock(), "a", bounds)
	w.relay.SetTable(w.table(0))
	return w
}

// table returns the configuration of a change. Each request has a workspace of its own, so that its metering can be told.
func (w *world) table(n int) *route.Table {
	add := func(prefix string, kind route.Kind, resumable bool, service wire.ServiceName) *route.Route {
		return &route.Route{Name: prefix, Host: "h", Prefix: prefix, Kind: kind, Resumable: resumable, Timeout: worldTimeout, Goal: worldGoal,
			MaxPause: worldMaxPause, MaxAttempts: w.plan.tables[n].maxAttempts, Shares: []route.Share{{Service: service, Weight: 1}}}
	}
	routes := []*route.Route{
		add("/once/", route.Once, false, plainService),
		add("/again/", route.Idempotent, false, plainService),
		add("/stream/", route.Stream, false, engineService),
		add("/resume/", route.Stream, true, engineService),
	}
	services := []*route.Service{{Name: plainService}, {Name: engineService, Engine: &route.Engine{BatchSize: 64}}}
	keys := map[string]*route.Workspace{}
	for _, r := range w.plan.requests {
		keys[string(r.ID)] = &route.Workspace{Name: wire.WorkspaceName(r.ID)}
	}
	return route.NewTable(route.Version(n+1), routes, services, keys, route.Limits{})
}

// play lets all that is planned happen, and returns once all requests have ended.
func (w *world) play(ctx context.Context) {
	var all sync.WaitGroup
	at := func(d time.Duration, do func()) {
		all.Go(func() {
			<-time.After(d)
			do()
		})
	}
	for i, c := range w.plan.budget[1:] {
		at(c.at, func() { w.relay.SetBudget(w.plan.budget[i+1].ratio, w.plan.budget[i+1].slack) })
	}
	for i, c := range w.plan.tables[1:] {
		at(c.at, func() { w.relay.SetTable(w.table(i + 1)) })
	}
	for i, d := range w.plan.leaving {
		at(d, func() {
			entry := w.plan.endpoints[i].entry
			entry.Leaving = true
			w.directory.Put(entry)
		})
	}
	for _, r := range w.plan.requests {
		at(r.at, func() { w.serve(ctx, r) })
	}
	all.Wait()
	w.fleet.ending.Wait()
}

// serve sends a request to the relay.
func (w *world) serve(ctx context.Context, r *plannedRequest) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if r.leavesAfter > 0 {
		stop := time.AfterFunc(r.leavesAfter, cancel)
		defer stop.Stop()
	}
	prompt := placement.Prompt{}
	if r.tokens > 0 {
		prompt = placement.NewPrompt(r.tokens, 100, []placement.Part{{Name: "shared", Tokens: r.tokens / 2}, {Name: string(r.ID), Tokens: r.tokens - r.tokens/2}})
	}
	c := w.callers[r.ID]
	c.slow, c.left = r.slow, ctx.Done()
	w.relay.Serve(ctx, &relay.Request{ID: r.ID, Arrived: time.Now(), Method: "POST", Path: r.path, Host: "h", Key: string(r.ID), Prompt: prompt}, c)
	c.served = w.fleet.now()
}

// trace describes all that happened to a request.
func (w *world) trace(r *plannedRequest) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%+v\ngot %v\n", *r, w.callers[r.ID])
	for _, s := range w.fleet.sends {
		if s.request == r {
			fmt.Fprintln(&b, s)
		}
	}
	return b.String() + strings.Join(w.decisions[r.ID], "\n")
}

// stream returns the plan of a resumable stream with a prompt that a decode engine prefills itself.
func (p *worldPlan) stream(at time.Duration) *plannedRequest {
	r := &plannedRequest{ID: wire.RequestId(fmt.Sprint("r", len(p.requests))), path: "/resume/", at: at, tokens: 200, events: 20, step: 50 * time.Millisecond}
	p.requests = append(p.requests, r)
	return r
}

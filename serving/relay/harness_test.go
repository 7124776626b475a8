package relay_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"cowslipshunt.example/serving/placement"
	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/serving/route"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

// fakeCaller records the answer that it receives.
type fakeCaller struct {
	status  int
	text    string
	events  string
	from    string
	ended   bool
	aborted bool
	refusal *relay.Refusal
}

func (c *fakeCaller) Answer(status int, _ relay.Header, b []byte) {
	c.status, c.text = status, string(b)
}
func (c *fakeCaller) Begin(status int, h relay.Header) { c.status, c.from = status, h["From"][0] }
func (c *fakeCaller) Event(e []byte) error {
	if string(e) != comment {
		c.events += string(e)
	}
	return nil
}
func (c *fakeCaller) End()                   { c.ended = true }
func (c *fakeCaller) Abort()                 { c.aborted = true }
func (c *fakeCaller) Refuse(r relay.Refusal) { c.refusal = &r }

// completeStream returns the events of a complete stream as a caller receives them.
func completeStream() string {
	s := ""
	for i := 1; i <= streamEvents; i++ {
		s += fmt.Sprintf("id: %d\n\n", i)
	}
	return s
}

// recorder is a meter and observer. It records the steps of the decisions that paused an endpoint, and the failure domains that
// became unreachable or reachable.
type recorder struct {
	// mu guards the rest: what a handover causes comes from another goroutine.
	mu              sync.Mutex
	began           int
	paused, domains []string
	// decisions are all decisions in order.
	decisions []relay.Decision
	notices   []relay.Notice
	panics    []any
}

func (r *recorder) Began(wire.WorkspaceName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.began++
}
func (r *recorder) Decided(d relay.Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decisions = append(r.decisions, d)
	if d.Pause > 0 {
		r.paused = append(r.paused, d.Step)
	}
}
func (r *recorder) DomainUnreachable(d wire.DomainName, _ time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.domains = append(r.domains, "unreachable "+string(d))
}
func (r *recorder) Panicked(_ wire.RequestId, value any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.panics = append(r.panics, value)
}
func (r *recorder) EndpointNoticed(n relay.Notice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notices = append(r.notices, n)
}
func (r *recorder) DomainReachable(d wire.DomainName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.domains = append(r.domains, "reachable "+string(d))
}

// harness is a relay with four endpoints of a plain service, and four prefill and four decode engines of a model service.
type harness struct {
	relay     *relay.Relay
	sender    *fakeSender
	recorder  *recorder
	directory *roster.Directory
}

// The services of the harness.
const (
	engineService wire.ServiceName = "engines"
	plainService  wire.ServiceName = "plain"
)

// budgetRatio is how many retries each request adds to the retry budget in these tests.
const budgetRatio = 0.2

func newHarness(next func(a *relay.Attempt) behaviour, opts ...relay.Option) *harness {
	return newHarnessAt(clockwork.NewRealClock(), next, opts...)
}

func newHarnessAt(clock clockwork.Clock, next func(a *relay.Attempt) behaviour, opts ...relay.Option) *harness {
	h := &harness{sender: &fakeSender{next: next}, recorder: &recorder{}, directory: roster.NewDirectory()}
	bounds := relay.BudgetBounds{Window: 10 * time.Second, Ratio: budgetRatio, Slack: 100}
	h.relay = relay.New(h.directory, h.sender, h.recorder, h.recorder, clock, "a", bounds, opts...)
	for i := range 4 {
		for service, stages := range map[wire.ServiceName][]roster.Stage{plainService: {roster.NoStage}, engineService: {roster.Prefill, roster.Decode}} {
			for _, stage := range stages {
				id := wire.EndpointId(fmt.Sprintf("%s-%v-%d", service, stage, i))
				h.directory.Put(roster.Entry{Key: roster.Key{ID: id, Born: 1}, Service: service, Domain: "a", Stage: stage, Slots: 4})
			}
		}
	}
	h.relay.SetTable(table(1))
	return h
}

// routeTimeout is the timeout of all routes of the harness.
const routeTimeout = 300 * time.Millisecond

// table returns a configuration with a route of each kind, each under a path prefix of its own.
func table(v route.Version) *route.Table {
	base := route.Route{Host: "h", Timeout: routeTimeout, Goal: 10 * time.Millisecond, MaxPause: 2 * time.Millisecond, MaxAttempts: 2, Public: true}
	add := func(prefix string, kind route.Kind, resumable bool, service wire.ServiceName) *route.Route {
		r := base
		r.Name, r.Prefix, r.Kind, r.Resumable = prefix, prefix, kind, resumable
		r.Shares = []route.Share{{Service: service, Weight: 1}}
		return &r
	}
	routes := []*route.Route{
		add("/once/", route.Once, false, plainService),
		add("/again/", route.Idempotent, false, plainService),
		add("/stream/", route.Stream, false, engineService),
		add("/resume/", route.Stream, true, engineService),
	}
	private := base
	private.Name, private.Prefix, private.Public = "/private/", "/private/", false
	private.Shares = []route.Share{{Service: plainService, Weight: 1}}
	services := []*route.Service{{Name: plainService}, {Name: engineService, Engine: &route.Engine{BatchSize: 64}}}
	keys := map[string]*route.Workspace{"key": {Name: "w"}}
	return route.NewTable(v, append(routes, &private), services, keys, route.Limits{})
}

// prompt returns a prompt that is long enough to be prefilled separately.
func prompt() placement.Prompt {
	return placement.NewPrompt(9000, 100, []placement.Part{{Name: "a", Tokens: 8000}, {Name: "b", Tokens: 1000}})
}

// request sends a request with a long prompt to the route of a path.
func (h *harness) request(t *testing.T, path string) *fakeCaller {
	t.Helper()
	return h.serve(t.Context(), &relay.Request{ID: "r", Arrived: time.Now(), Method: "POST", Path: path, Host: "h", Prompt: prompt()})
}

func (h *harness) serve(ctx context.Context, r *relay.Request) *fakeCaller {
	c := &fakeCaller{}
	h.relay.Serve(ctx, r, c)
	return c
}

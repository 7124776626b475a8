package relay_test

import (
	"context"
	"testing"
	"time"

	"cowslipshunt.example/serving/membership"
	"cowslipshunt.example/serving/placement"
	"cowslipshunt.example/serving/quota"
	"cowslipshunt.example/serving/relay"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/serving/route"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

// alone is the network of an instance without peers.
type alone struct{}

func (alone) Instances() []membership.Peer { return nil }
func (alone) Send(string, *quota.Packet)   {}

// quotaHarness is a relay of one instance whose only workspace has a quota of requests, with a bucket that has been filled.
type quotaHarness struct {
	sender  *fakeSender
	relay   *relay.Relay
	manager *quota.Manager
	clock   *clockwork.FakeClock
	seen    *recorder
}

func newQuotaHarness(q route.Quota, behaviours ...behaviour) *quotaHarness {
	next := 0
	h := &quotaHarness{clock: clockwork.NewFakeClockAt(time.Now())}
	h.sender = &fakeSender{next: func(*relay.Attempt) behaviour {
		next++
		return behaviours[min(next, len(behaviours))-1]
	}}
	h.manager = quota.New(membership.Peer{Address: "10.0.0.1:1", Domain: "a"}, "i", alone{}, h.clock, 8*time.Second)
	h.manager.SetQuotas(map[wire.WorkspaceName]route.Quota{"w": q})
	for range 100 {
		h.manager.Tick()
		h.clock.Advance(quota.TickInterval)
	}
	h.manager.Tick()
	d, r := roster.NewDirectory(), &recorder{}
	bounds := relay.BudgetBounds{Window: 10 * time.Second, Ratio: budgetRatio, Slack: 100}
	h.seen = r
	h.relay = relay.New(d, h.sender, r, r, h.clock, "a", bounds, relay.WithQuota(h.manager))
	for _, id := range []wire.EndpointId{"e1", "e2", "e3"} {
		d.Put(roster.Entry{Key: roster.Key{ID: id, Born: 1}, Service: plainService, Domain: "a", Slots: 4})
	}
	private := route.Route{Host: "h", Name: "private", Prefix: "/", Kind: route.Idempotent, Timeout: routeTimeout, MaxPause: 2 * time.Millisecond, MaxAttempts: 3, Shares: []route.Share{{Service: plainService, Weight: 1}}}
	public := private
	public.Host, public.Public = "public", true
	keys := map[string]*route.Workspace{"key": {Name: "w", Quota: q}, "free": {Name: "free"}}
	h.relay.SetTable(route.NewTable(1, []*route.Route{&private, &public}, []*route.Service{{Name: plainService}}, keys, route.Limits{}))
	return h
}

func (h *quotaHarness) serve(host, key string) *fakeCaller {
	c := &fakeCaller{}
	h.relay.Serve(context.Background(), &relay.Request{ID: "r", Arrived: h.clock.Now(), Method: "POST", Path: "/", Host: host, Key: key}, c)
	return c
}

// TestRequestsOverTheQuotaAreRefused guards against requests over the quota that run, or that are refused without a time to return, and against
// limits for workspaces that have none and for public routes.
func TestRequestsOverTheQuotaAreRefused(t *testing.T) {
	h := newQuotaHarness(route.Quota{Rate: 1, Burst: 3}, succeeds)
	for i := range 3 {
		if c := h.serve("h", "key"); c.status != 200 {
			t.Fatalf("request %d within the quota got %d, %+v", i, c.status, c.refusal)
		}
	}
	c := h.serve("h", "key")
	if c.refusal == nil || c.refusal.Verdict != relay.OverQuota || c.refusal.RetryAfter < 900*time.Millisecond || c.refusal.RetryAfter > 1300*time.Millisecond {
		t.Fatalf("got %d, %+v, want a refusal with a time to return of a second and a quarter at most", c.status, c.refusal)
	}
	if h.sender.sends != 3 {
		t.Errorf("%d sends for 3 requests within the quota", h.sender.sends)
	}
	for host, key := range map[string]string{"h": "free", "public": ""} {
		if c := h.serve(host, key); c.status != 200 {
			t.Errorf("host %s, key %q: got %d, %+v", host, key, c.status, c.refusal)
		}
	}
	h.clock.Advance(c.refusal.RetryAfter)
	h.manager.Tick()
	if c := h.serve("h", "key"); c.status != 200 {
		t.Errorf("a request after the time to return got %d, %+v", c.status, c.refusal)
	}
}

// TestSendsAreCharged guards against sends that count twice for one run, and against a second run that does not count.
func TestSendsAreCharged(t *testing.T) {
	cases := map[string]struct {
		behaviours []behaviour
		want       float64
	}{
		"runs":                          {[]behaviour{succeeds}, 1},
		"rejected, then runs":           {[]behaviour{rejects, succeeds}, 1},
		"runs twice":                    {[]behaviour{losesAnswer, succeeds}, 2},
		"rejected everywhere":           {[]behaviour{rejects}, 0},
		"unreachable, fails, then runs": {[]behaviour{unreachable, fails, succeeds}, 2},
	}
	for name, c := range cases {
		h := newQuotaHarness(route.Quota{Rate: 1, Burst: 10}, c.behaviours...)
		h.serve("h", "key")
		if got := h.manager.Usage()[0].Spent; got != c.want {
			t.Errorf("%s: charged %v, want %v", name, got, c.want)
		}
	}
}

// TestOddTokenCountsAreObservedOnce guards against token counts without meaning that are charged silently, or logged with each request.
func TestOddTokenCountsAreObservedOnce(t *testing.T) {
	h := newQuotaHarness(route.Quota{Unit: route.Tokens, Rate: 10, Burst: 100, PlainCost: 7}, succeeds)
	for range 3 {
		r := &relay.Request{ID: "r", Arrived: h.clock.Now(), Method: "POST", Path: "/", Host: "h", Key: "key", Prompt: placement.NewPrompt(-5, 10, nil)}
		h.relay.Serve(context.Background(), r, &fakeCaller{})
	}
	observed := 0
	for _, d := range h.seen.decisions {
		if d.Step == relay.StepCountsRejected {
			observed++
		}
	}
	if spent := h.manager.Usage()[0].Spent; observed != 1 || spent != 21 {
		t.Errorf("observed %d times, spent %v, want once and 21", observed, spent)
	}
}

// TestSendThatPanicsIsCharged guards against a run that is given back, as the endpoint's answer caused a panic before the run was counted.
func TestSendThatPanicsIsCharged(t *testing.T) {
	h := newQuotaHarness(route.Quota{Rate: 1, Burst: 10}, panics)
	func() {
		defer func() { _ = recover() }()
		h.serve("h", "key")
	}()
	if got := h.manager.Usage()[0].Spent; h.sender.runs != 1 || got != 1 {
		t.Errorf("charged %v for %d runs, want 1 for one", got, h.sender.runs)
	}
}

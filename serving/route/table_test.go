package route_test

import (
	"fmt"
	"testing"
	"time"

	"cowslipshunt.example/serving/route"
	"cowslipshunt.example/wire"
)

func ExampleTable_Find() {
	routes := []*route.Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "drafts", Host: "a.example", Prefix: "/drafts/"},
	}
	t := route.NewTable(1, routes, nil, nil, route.Limits{})
	fmt.Println(t.Find("A.example:80", "/drafts/7").Name)
	fmt.Println(t.Find("a.example", "/draft").Name)
	fmt.Println(t.Find("b.example", "/drafts/7"))
	// Output:
	// drafts
	// all
	// <nil>
}

func TestHolderReturnsOnlyTheWorkspaceOfTheKey(t *testing.T) {
	w := &route.Workspace{Name: "w"}
	table := route.NewTable(1, nil, nil, map[string]*route.Workspace{"k": w}, route.Limits{})
	if table.WorkspaceForKey("k") != w || table.WorkspaceForKey("") != nil || table.WorkspaceForKey("other") != nil {
		t.Error("a key did not give its workspace, or another key gave one")
	}
}

func TestChooseServiceFollowsWeights(t *testing.T) {
	r := route.Route{Shares: []route.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	tests := []struct {
		fraction float64
		want     wire.ServiceName
	}{{0, "a"}, {0.89, "a"}, {0.91, "b"}, {0.9999, "b"}}
	for _, test := range tests {
		if got := r.ChooseService(test.fraction); got != test.want {
			t.Errorf("fraction %v: got %s, want %s", test.fraction, got, test.want)
		}
	}
}

func TestOnlyIdempotentAndResumableRoutesAreRepeatable(t *testing.T) {
	tests := []struct {
		route route.Route
		want  bool
	}{
		{route.Route{Kind: route.Once}, false},
		{route.Route{Kind: route.Once, Resumable: true}, false},
		{route.Route{Kind: route.Idempotent}, true},
		{route.Route{Kind: route.Stream}, false},
		{route.Route{Kind: route.Stream, Resumable: true}, true},
	}
	for _, test := range tests {
		if got := test.route.Repeatable(); got != test.want {
			t.Errorf("%v resumable %v: repeatable is %v", test.route.Kind, test.route.Resumable, got)
		}
	}
}

// TestContendedServices guards against deployments that get another order of their requests than before although nothing in their
// configuration asks for it.
func TestContendedServices(t *testing.T) {
	streaming := func(goal time.Duration) *route.Route {
		return &route.Route{Kind: route.Stream, Goal: goal, Shares: []route.Share{{Service: "engines", Weight: 1}, {Service: "plain", Weight: 1}}}
	}
	booking := &route.Route{Kind: route.Once, Goal: 100 * time.Millisecond, Shares: []route.Share{{Service: "engines", Weight: 1}}}
	limited := map[string]*route.Workspace{"k": {Name: "w", Quota: route.Quota{Rate: 1}}}
	cases := map[string]struct {
		routes []*route.Route
		keys   map[string]*route.Workspace
		want   bool
	}{
		"similar objectives": {routes: []*route.Route{streaming(400 * time.Millisecond), streaming(799 * time.Millisecond)}},
		"other kinds":        {routes: []*route.Route{streaming(400 * time.Millisecond), booking}},
		"no objective":       {routes: []*route.Route{streaming(0), streaming(400 * time.Millisecond)}},
		"unlike objectives":  {routes: []*route.Route{streaming(400 * time.Millisecond), streaming(800 * time.Millisecond)}, want: true},
		"quota":              {routes: []*route.Route{streaming(400 * time.Millisecond)}, keys: limited, want: true},
	}
	for name, c := range cases {
		services := []*route.Service{{Name: "engines", Engine: &route.Engine{}}, {Name: "plain"}}
		table := route.NewTable(1, c.routes, services, c.keys, route.Limits{})
		if got := table.Services["engines"].Contended; got != c.want {
			t.Errorf("%s: contended is %v, want %v", name, got, c.want)
		}
		if table.Services["plain"].Contended {
			t.Errorf("%s: a service without engines is contended", name)
		}
	}
}

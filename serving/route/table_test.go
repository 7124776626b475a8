package route_test

import (
	"fmt"
	"testing"

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

package document_test

import (
	"encoding/base64"
	"strings"
	"testing"

	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/wire"
)

func TestRouteForChoosesLongestSegmentPrefix(t *testing.T) {
	x := document.NewIndex(&document.Document{Route: []document.Route{
		{Service: "booking", Prefix: "/", Price: 1},
		{Service: "booking", Prefix: "/open", Open: true, Price: 2},
		{Service: "booking", Prefix: "/open", Method: "POST", Price: 3},
		{Service: "booking", Prefix: "/open/deep", Method: "GET", Price: 4},
		{Service: "other", Prefix: "/only", Repeatable: true, Price: 5},
	}})
	tests := []struct {
		service, method, path string
		price                 int
	}{
		{"booking", "GET", "/", 1}, {"booking", "GET", "/opener", 1}, {"booking", "GET", "/open", 2},
		{"booking", "GET", "/open/", 2}, {"booking", "POST", "/open/x", 3}, {"booking", "POST", "/open/deep", 3},
		{"booking", "GET", "/open/deep/er", 4}, {"other", "GET", "/only", 5}, {"other", "GET", "/onl", 0},
		{"absent", "GET", "/only", 0}, {"booking", "GET", "/open/../x", 0}, {"booking", "GET", "/open/%2e%2e/x", 0},
		{"booking", "GET", "/open%2f..%2fx", 0}, {"booking", "GET", "//open", 0}, {"booking", "GET", `/open/\x`, 0},
		{"booking", "GET", "", 0}, {"booking", "GET", "/open/%zz", 0},
	}
	for _, test := range tests {
		r := x.RouteFor(wire.ServiceName(test.service), test.method, test.path)
		if int(r.Price) != test.price {
			t.Errorf("%s %s %s: price %d, want %d", test.service, test.method, test.path, r.Price, test.price)
		}
		if test.price == 0 && (r.Open || r.Repeatable) {
			t.Errorf("%s: the default route is %+v", test.path, r)
		}
	}
}

func TestKeyIndexFindsTheWorkspaceOfAKey(t *testing.T) {
	key := document.NewKey()
	x := document.NewIndex(&document.Document{Workspace: []document.Workspace{
		{Name: "a", Key: []document.Key{{Digest: document.KeyDigest(key), Label: "app"}}}, {Name: "b"},
	}})
	if w, ok := x.KeyIndex().Workspace(document.KeyDigest(key)); !ok || w.Name != "a" {
		t.Errorf("got %v %v", w, ok)
	}
	if _, ok := x.KeyIndex().Workspace(document.KeyDigest(document.NewKey())); ok || x.KeyIndex().Len() != 1 {
		t.Error("a key that is not in the document was found")
	}
	if _, ok := x.WorkspaceNamed("b"); !ok {
		t.Error("workspace b was not found")
	}
}

func TestNewKeyHolds32RandomBytes(t *testing.T) {
	a, b := document.NewKey(), document.NewKey()
	secret, err := base64.RawURLEncoding.DecodeString(strings.TrimPrefix(a, document.KeyPrefix))
	if err != nil || len(secret) != 32 || a == b {
		t.Errorf("%d bytes, %v, equal %v", len(secret), err, a == b)
	}
}

package fleet_test

import (
	"fmt"
	"slices"
	"testing"

	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/shared/fleet"
	"cowslipshunt.example/wire"
	"pgregory.net/rapid"
)

// testDocument wants count engines of kind k in domain d. Kind s serves a plain service.
func testDocument(count int) *document.Document {
	return &document.Document{
		Model:        []document.Model{{Name: "m", Version: "2"}},
		EndpointKind: []document.EndpointKind{{Name: "k", Serves: document.ServesModel, Model: "m", Cheap: true}, {Name: "s", Serves: document.ServesService, Service: "book"}},
		Fleet:        []document.Fleet{{Domain: "d", Kind: "k", Count: count}, {Domain: "other", Kind: "k", Count: 9}},
	}
}

// testView returns a view with one engine of kind k for each version in loaded: "" stands for an engine without a model and "-"
// for one that does not answer.
func testView(count int, loaded ...wire.ModelVersion) fleet.View {
	v := fleet.View{
		Domain:   "d",
		Document: testDocument(count),
		States:   map[wire.EndpointId]wire.EngineState{},
		TooSoon:  func(wire.OrderRow) bool { return false },
	}
	for i, version := range loaded {
		id := wire.EndpointId(fmt.Sprint("e", i))
		v.Endpoints = append(v.Endpoints, wire.EndpointRecord{Endpoint: id, Domain: "d", Kind: "k"})
		state := wire.EngineState{Endpoint: id, Model: "m", ModelVersion: version}
		if version == "" {
			state.Model = ""
		}
		if version != "-" {
			v.States[id] = state
		}
	}
	return v
}

// summary returns "kind=count" for orders of a count and "endpoint:version" for orders to load a model.
func summary(rows []wire.OrderRow) []string {
	texts := []string{}
	for _, r := range rows {
		if r.Endpoint == "" {
			texts = append(texts, fmt.Sprint(r.Kind, "=", r.Count))
			continue
		}
		texts = append(texts, fmt.Sprint(r.Endpoint, ":", r.ModelVersion))
	}
	return texts
}

func TestPlan(t *testing.T) {
	busy := testView(2, "1", "1")
	busy.Pending = []wire.OrderRow{{Endpoint: "e0", Kind: "k"}}
	leaving := testView(1, "1", "2")
	leaving.Endpoints[1].Leaving = true
	unlisted := testView(0)
	unlisted.Endpoints = []wire.EndpointRecord{{Endpoint: "x", Domain: "d", Kind: "old"}}
	tooSoon := testView(3, "1", "2")
	tooSoon.TooSoon = func(wire.OrderRow) bool { return true }
	noDocument := testView(1, "1")
	noDocument.Document = nil
	unwanted := testView(1, "1")
	unwanted.States["e0"] = wire.EngineState{Model: "other", ModelVersion: "1"}
	tests := []struct {
		name string
		view fleet.View
		want []string
	}{
		{"the wanted count is ordered", testView(3), []string{"k=3"}},
		{"engines without a model load at once", testView(2, "", ""), []string{"e0:2", "e1:2"}},
		{"engines with a model load one at a time", testView(3, "1", "1", "1"), []string{"e0:2"}},
		{"no load while another is in progress", busy, []string{}},
		{"no load on the last serving engine", testView(1, "1"), []string{}},
		{"an engine without a model loads though another serves alone", testView(2, "1", ""), []string{"e1:2"}},
		{"no load if the other engine does not answer", testView(2, "1", "-"), []string{}},
		{"no load if the other engine is leaving", leaving, []string{}},
		{"the last engine of an unwanted model may be taken out", unwanted, []string{"e0:2"}},
		{"nothing to do", testView(2, "2", "2"), []string{}},
		{"a kind that is not in the document is ordered to zero", unlisted, []string{"old=0"}},
		{"orders that come too soon are held back", tooSoon, []string{}},
		{"no document", noDocument, []string{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := summary(fleet.Plan(test.view)); !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

func TestStates(t *testing.T) {
	v := testView(5, "1", "", "1", "1", "1")
	v.Endpoints[4].Leaving = true
	v.Endpoints = append(v.Endpoints, wire.EndpointRecord{Endpoint: "s", Domain: "d", Kind: "s"})
	v.Pending = []wire.OrderRow{{Order: "o2", Endpoint: "e2", Kind: "k"}, {Order: "o3", Endpoint: "e3", Kind: "k"}}
	loading := v.States["e3"]
	loading.LastOrder = "o3"
	v.States["e3"] = loading
	want := []wire.EndpointPhase{"Ready", "Loading", "Draining", "Loading", "Leaving", "Ready"}
	got := fleet.States(v)
	for i, s := range got {
		if s.Phase != want[i] {
			t.Errorf("%s is %s, want %s", s.Endpoint, s.Phase, want[i])
		}
	}
	if s := got[5]; s.Service != "book" || got[0].Model != "m" || !got[0].Cheap {
		t.Errorf("got %+v and %+v", got[0], s)
	}
}

// TestLoadsNeverTakeOutTheLastServingEngine applies the planned orders in random order until none is left. At least one engine
// must serve the model throughout once one does, and all must end with the wanted version.
func TestLoadsNeverTakeOutTheLastServingEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loaded := rapid.SliceOfN(rapid.SampledFrom([]wire.ModelVersion{"", "1", "2"}), 2, 5).Draw(t, "loaded")
		v := testView(len(loaded), loaded...)
		hasServed := servingCount(v) > 0
		for range 100 {
			v.Pending = append(v.Pending, fleet.Plan(v)...)
			if hasServed && servingCount(v) == 0 {
				t.Fatalf("no engine serves while the orders %v are pending", v.Pending)
			}
			if len(v.Pending) == 0 {
				break
			}
			i := rapid.IntRange(0, len(v.Pending)-1).Draw(t, "done")
			id := v.Pending[i].Endpoint
			v.States[id] = wire.EngineState{Endpoint: id, Model: "m", ModelVersion: v.Pending[i].ModelVersion}
			v.Pending = slices.Delete(v.Pending, i, i+1)
			hasServed = true
		}
		for id, s := range v.States {
			if s.ModelVersion != "2" {
				t.Fatalf("%s ended with state %+v", id, s)
			}
		}
	})
}

// servingCount counts the engines that serve model m and are not the target of a pending order.
func servingCount(v fleet.View) int {
	n := 0
	for id, s := range v.States {
		ordered := slices.ContainsFunc(v.Pending, func(o wire.OrderRow) bool { return o.Endpoint == id })
		if s.Model == "m" && !ordered {
			n++
		}
	}
	return n
}

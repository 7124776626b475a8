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

func sample(count int) *document.Document {
	return &document.Document{
		Model:        []document.Model{{Name: "m", Version: "2"}},
		EndpointKind: []document.EndpointKind{{Name: "k", Serves: document.ServesModel, Model: "m", Cheap: true}, {Name: "s", Serves: document.ServesService, Service: "book"}},
		Fleet:        []document.Fleet{{Domain: "d", Kind: "k", Count: count}, {Domain: "other", Kind: "k", Count: 9}},
	}
}

// view returns engines of kind k; each text is the loaded version, "" for none and "-" for one that does not answer.
func view(count int, loaded ...wire.ModelVersion) fleet.View {
	v := fleet.View{
		Domain:   "d",
		Document: sample(count),
		States:   map[wire.EndpointId]wire.EngineState{},
		Resting:  func(wire.OrderRow) bool { return false },
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

func summary(rows []wire.OrderRow) []string {
	list := []string{}
	for _, r := range rows {
		if r.Endpoint == "" {
			list = append(list, fmt.Sprint(r.Kind, "=", r.Count))
			continue
		}
		list = append(list, fmt.Sprint(r.Endpoint, ":", r.ModelVersion))
	}
	return list
}

func TestPlan(t *testing.T) {
	busy := view(2, "1", "1")
	busy.Open = []wire.OrderRow{{Endpoint: "e0", Kind: "k"}}
	leaving := view(1, "1", "2")
	leaving.Endpoints[1].Leaving = true
	unknown := view(0)
	unknown.Endpoints = []wire.EndpointRecord{{Endpoint: "x", Domain: "d", Kind: "old"}}
	resting := view(3, "1", "2")
	resting.Resting = func(wire.OrderRow) bool { return true }
	empty := view(1, "1")
	empty.Document = nil
	gone := view(1, "1")
	gone.States["e0"] = wire.EngineState{Model: "other", ModelVersion: "1"}
	tests := []struct {
		name string
		view fleet.View
		want []string
	}{
		{"count is ordered", view(3), []string{"k=3"}},
		{"all first loads at once", view(2, "", ""), []string{"e0:2", "e1:2"}},
		{"one at a time", view(3, "1", "1", "1"), []string{"e0:2"}},
		{"not while one is out", busy, []string{}},
		{"not the last that serves", view(1, "1"), []string{}},
		{"a first load beside a change", view(2, "1", ""), []string{"e1:2"}},
		{"not if the other does not answer", view(2, "1", "-"), []string{}},
		{"not if the other is leaving", leaving, []string{}},
		{"a model that nobody wants may go", gone, []string{"e0:2"}},
		{"all done", view(2, "2", "2"), []string{}},
		{"kinds out of the document go", unknown, []string{"old=0"}},
		{"resting", resting, []string{}},
		{"no document", empty, []string{}},
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
	v := view(5, "1", "", "1", "1", "1")
	v.Endpoints[4].Leaving = true
	v.Endpoints = append(v.Endpoints, wire.EndpointRecord{Endpoint: "s", Domain: "d", Kind: "s"})
	v.Open = []wire.OrderRow{{Order: "o2", Endpoint: "e2", Kind: "k"}, {Order: "o3", Endpoint: "e3", Kind: "k"}}
	given := v.States["e3"]
	given.LastOrder = "o3"
	v.States["e3"] = given
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

// TestChangesNeverTakeTheLastServingEngine drives the plan until nothing is left to do.
func TestChangesNeverTakeTheLastServingEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loaded := rapid.SliceOfN(rapid.SampledFrom([]wire.ModelVersion{"", "1", "2"}), 2, 5).Draw(t, "loaded")
		v := view(len(loaded), loaded...)
		served := serving(v) > 0
		for range 100 {
			v.Open = append(v.Open, fleet.Plan(v)...)
			if served && serving(v) == 0 {
				t.Fatalf("nothing serves with %v open", v.Open)
			}
			if len(v.Open) == 0 {
				break
			}
			i := rapid.IntRange(0, len(v.Open)-1).Draw(t, "done")
			id := v.Open[i].Endpoint
			v.States[id] = wire.EngineState{Endpoint: id, Model: "m", ModelVersion: v.Open[i].ModelVersion}
			v.Open = slices.Delete(v.Open, i, i+1)
			served = true
		}
		for id, s := range v.States {
			if s.ModelVersion != "2" {
				t.Fatalf("%s ended at %+v", id, s)
			}
		}
	})
}

func serving(v fleet.View) int {
	n := 0
	for id, s := range v.States {
		out := slices.ContainsFunc(v.Open, func(o wire.OrderRow) bool { return o.Endpoint == id })
		if s.Model == "m" && !out {
			n++
		}
	}
	return n
}

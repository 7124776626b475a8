package fleet_test

import (
	"fmt"
	"testing"

	"cowslipshunt.example/serving/fleet"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/serving/route"
	"cowslipshunt.example/wire"
	"pgregory.net/rapid"
)

var policy = fleet.Policy{OnDemand: 1, ReplacementShare: 0.5, ReplacementBacklog: 5000, PrefillShare: 0.5}

var service = &route.Service{Name: "s", Engine: &route.Engine{}, Scale: &route.Scale{Min: 1, Max: 8, SpotPrice: 0.18}}

// fixture is a directory to which a test adds engines.
type fixture struct {
	directory *roster.Directory
	born      int64
}

func newFixture() *fixture { return &fixture{directory: roster.NewDirectory()} }

func (f *fixture) add(domain wire.DomainName, spot bool, stage roster.Stage, n int) {
	for range n {
		f.born++
		id := wire.EndpointId(fmt.Sprintf("%04d", f.born))
		f.directory.Put(roster.Entry{Key: roster.Key{ID: id, Born: f.born}, Service: "s", Domain: domain, Spot: spot, Stage: stage, Slots: 1})
	}
}

func (f *fixture) list() []*roster.Endpoint { return f.directory.View().Service("s") }

// reclaim marks the spot engines of a failure domain as leaving.
func (f *fixture) reclaim(domain wire.DomainName) {
	for _, e := range f.list() {
		if entry := *e.Entry(); entry.Spot && entry.Domain == domain {
			entry.Leaving = true
			f.directory.Put(entry)
		}
	}
}

// targetCount returns the target number of spot or on-demand endpoints in a failure domain, or -1 if there is none.
func targetCount(targets []fleet.Target, domain wire.DomainName, spot bool) int {
	for _, target := range targets {
		if target.Domain == domain && target.Spot == spot {
			return target.Count
		}
	}
	return -1
}

func TestSpotEndpointsFillUpToTheMaximum(t *testing.T) {
	s := fleet.NewScaler(policy)
	targets := s.Plan(service, newFixture().list(), []wire.DomainName{"a", "b"})
	if targetCount(targets, "a", false) != 1 || targetCount(targets, "a", true) != 7 || targetCount(targets, "b", true) != 7 {
		t.Errorf("got %+v", targets)
	}
	onDemandOnly := &route.Service{Name: "s", Scale: &route.Scale{Min: 2, Max: 4}}
	targets = s.Plan(onDemandOnly, nil, []wire.DomainName{"a"})
	if targetCount(targets, "a", false) != 2 || targetCount(targets, "a", true) != 0 {
		t.Errorf("without spot endpoints: %+v", targets)
	}
	if s.Plan(&route.Service{Name: "p"}, nil, []wire.DomainName{"a"}) != nil {
		t.Error("there are targets for a service without Scale")
	}
}

// All spot engines of a failure domain are reclaimed while prompts are queued, and no others are available for a while.
func TestReclaimedSpotEndpointsAreReplacedUnderLoad(t *testing.T) {
	for _, load := range []int{0, 20000} {
		f := newFixture()
		f.add("a", false, roster.Decode, 1)
		f.add("a", true, roster.Prefill, 7)
		for _, e := range f.list() {
			e.SetPeerLoad(load, 0)
		}
		s := fleet.NewScaler(policy)
		domains := []wire.DomainName{"a"}
		for range 10 {
			if n := targetCount(s.Plan(service, f.list(), domains), "a", false); n != 1 {
				t.Fatalf("load %d: a target of %d on-demand endpoints before the reclaim", load, n)
			}
		}
		f.reclaim("a")
		targets := s.Plan(service, f.list(), domains)
		want := 1
		if load > 0 {
			want = 4
		}
		if targetCount(targets, "a", false) != want || targetCount(targets, "a", true) != 7 {
			t.Errorf("load %d: after the reclaim the targets are %+v", load, targets)
		}
		s.SpotRefused("a")
		f.add("a", true, roster.Decode, 4)
		if n := targetCount(s.Plan(service, f.list(), domains), "a", false); n != 1 && load == 0 {
			t.Errorf("a target of %d on-demand endpoints after spot ones have returned", n)
		}
	}
}

// TestStageChangesConverge applies stage changes until none is left. They must end, with engines of both stages in each domain
// that has more than one engine.
func TestStageChangesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		for _, d := range []wire.DomainName{"a", "b"} {
			f.add(d, true, roster.Decode, rapid.IntRange(0, 8).Draw(t, "decode"))
			f.add(d, true, roster.Prefill, rapid.IntRange(0, 8).Draw(t, "prefill"))
		}
		for n := 0; ; n++ {
			changes := policy.StageChanges(f.list())
			if len(changes) == 0 {
				break
			}
			if n > 20 {
				t.Fatal("the changes do not end")
			}
			for _, c := range changes {
				entry := *c.Endpoint.Entry()
				entry.Stage = c.To
				f.directory.Put(entry)
			}
		}
		stages := map[wire.DomainName]map[roster.Stage]int{"a": {}, "b": {}}
		for _, e := range f.list() {
			stages[e.Entry().Domain][e.Entry().Stage]++
		}
		for d, n := range stages {
			if all := n[roster.Prefill] + n[roster.Decode]; all > 1 && (n[roster.Prefill] == 0 || n[roster.Decode] == 0) {
				t.Fatalf("domain %s has %v", d, n)
			}
		}
	})
}

func TestYoungestEngineChangesStage(t *testing.T) {
	f := newFixture()
	f.add("a", false, roster.Decode, 4)
	changes := policy.StageChanges(f.list())
	if len(changes) != 1 || changes[0].Endpoint.Entry().ID != "0004" || changes[0].To != roster.Prefill {
		t.Errorf("got %+v", changes)
	}
}

// The duties lease changes its holder after the spot endpoints of a failure domain were reclaimed and replaced. A new holder that
// released the replacements would leave the domain without engines for as long as others take to start.
func TestNewLeaseHolderKeepsReplacements(t *testing.T) {
	f := newFixture()
	f.add("a", false, roster.Prefill, 4)
	f.add("b", false, roster.Decode, 1)
	f.add("b", true, roster.Prefill, 7)
	domains := []wire.DomainName{"a", "b"}
	s := fleet.NewScaler(policy)
	for range 10 {
		targets := s.Plan(service, f.list(), domains)
		if targetCount(targets, "a", false) != 4 || targetCount(targets, "b", false) != 1 {
			t.Fatalf("the new lease holder's targets are %+v", targets)
		}
	}
	f.add("a", true, roster.Prefill, 7)
	if targets := s.Plan(service, f.list(), domains); targetCount(targets, "a", false) != 1 {
		t.Errorf("after the spot endpoints have returned the targets are %+v", targets)
	}
}

func TestFirstLeaseHolderOrdersSpotEndpoints(t *testing.T) {
	f := newFixture()
	f.add("a", false, roster.Decode, 4)
	if targets := fleet.NewScaler(policy).Plan(service, f.list(), []wire.DomainName{"a"}); targetCount(targets, "a", false) != 1 || targetCount(targets, "a", true) != 7 {
		t.Errorf("the first lease holder's targets are %+v", targets)
	}
}

// TestEndpointThatSaysItLeavesIsReplaced guards against a fleet that stays short until the store lists the endpoint as leaving.
func TestEndpointThatSaysItLeavesIsReplaced(t *testing.T) {
	f := newFixture()
	f.add("a", true, roster.Decode, 3)
	f.list()[0].MarkLeaving()
	if n := fleet.CountListed(f.list(), "a", true); n != 2 {
		t.Errorf("%d endpoints count, want 2", n)
	}
	f.list()[2].MarkLeaving()
	if changes := policy.StageChanges(f.list()); len(changes) != 1 || changes[0].Endpoint.Entry().ID != "0002" {
		t.Errorf("got the stage changes %+v, want that of the engine that stays", changes)
	}
}

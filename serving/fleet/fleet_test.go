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

func wantedCount(wanted []fleet.Target, domain wire.DomainName, spot bool) int {
	for _, w := range wanted {
		if w.Domain == domain && w.Spot == spot {
			return w.Count
		}
	}
	return -1
}

func TestSpotEndpointsFillUpToTheMaximum(t *testing.T) {
	s := fleet.NewScaler(policy)
	wanted := s.Plan(service, newFixture().list(), []wire.DomainName{"a", "b"})
	if wantedCount(wanted, "a", false) != 1 || wantedCount(wanted, "a", true) != 7 || wantedCount(wanted, "b", true) != 7 {
		t.Errorf("got %+v", wanted)
	}
	onDemandOnly := &route.Service{Name: "s", Scale: &route.Scale{Min: 2, Max: 4}}
	wanted = s.Plan(onDemandOnly, nil, []wire.DomainName{"a"})
	if wantedCount(wanted, "a", false) != 2 || wantedCount(wanted, "a", true) != 0 {
		t.Errorf("without spot endpoints: %+v", wanted)
	}
	if s.Plan(&route.Service{Name: "p"}, nil, []wire.DomainName{"a"}) != nil {
		t.Error("endpoints are wanted for a service without Scale")
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
			if n := wantedCount(s.Plan(service, f.list(), domains), "a", false); n != 1 {
				t.Fatalf("load %d: %d on-demand endpoints wanted before the reclaim", load, n)
			}
		}
		f.reclaim("a")
		wanted := s.Plan(service, f.list(), domains)
		want := 1
		if load > 0 {
			want = 4
		}
		if wantedCount(wanted, "a", false) != want || wantedCount(wanted, "a", true) != 7 {
			t.Errorf("load %d: after the reclaim the scaler wants %+v", load, wanted)
		}
		s.SpotRefused("a")
		f.add("a", true, roster.Decode, 4)
		if n := wantedCount(s.Plan(service, f.list(), domains), "a", false); n != 1 && load == 0 {
			t.Errorf("%d on-demand endpoints wanted after spot ones have returned", n)
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
		wanted := s.Plan(service, f.list(), domains)
		if wantedCount(wanted, "a", false) != 4 || wantedCount(wanted, "b", false) != 1 {
			t.Fatalf("the new lease holder wants %+v", wanted)
		}
	}
	f.add("a", true, roster.Prefill, 7)
	if wanted := s.Plan(service, f.list(), domains); wantedCount(wanted, "a", false) != 1 {
		t.Errorf("after the spot endpoints have returned the scaler wants %+v", wanted)
	}
}

func TestFirstLeaseHolderOrdersSpotEndpoints(t *testing.T) {
	f := newFixture()
	f.add("a", false, roster.Decode, 4)
	if wanted := fleet.NewScaler(policy).Plan(service, f.list(), []wire.DomainName{"a"}); wantedCount(wanted, "a", false) != 1 || wantedCount(wanted, "a", true) != 7 {
		t.Errorf("the first lease holder wants %+v", wanted)
	}
}

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

var policy = fleet.Policy{Steady: 1, StandIns: 0.5, StandInBacklog: 5000, PrefillShare: 0.5}

var service = &route.Service{Name: "s", Engine: &route.Engine{}, Scale: &route.Scale{Min: 1, Max: 8, SpotPrice: 0.18}}

// park holds the engines that a test lists.
type park struct {
	directory *roster.Directory
	born      int64
}

func newPark() *park { return &park{directory: roster.NewDirectory()} }

func (p *park) add(domain wire.DomainName, spot bool, stage roster.Stage, n int) {
	for range n {
		p.born++
		id := wire.EndpointId(fmt.Sprintf("%04d", p.born))
		p.directory.Put(roster.Entry{Key: roster.Key{ID: id, Born: p.born}, Service: "s", Domain: domain, Spot: spot, Stage: stage, Slots: 1})
	}
}

func (p *park) list() []*roster.Endpoint { return p.directory.View().Service("s") }

// reclaim makes the spot engines of a domain leave.
func (p *park) reclaim(domain wire.DomainName) {
	for _, e := range p.list() {
		if entry := *e.Entry(); entry.Spot && entry.Domain == domain {
			entry.Leaving = true
			p.directory.Put(entry)
		}
	}
}

func count(wanted []fleet.Wanted, domain wire.DomainName, spot bool) int {
	for _, w := range wanted {
		if w.Domain == domain && w.Spot == spot {
			return w.Count
		}
	}
	return -1
}

func TestSpotEndpointsFillWhatSteadyOnesLeave(t *testing.T) {
	s := fleet.NewScaler(policy)
	wanted := s.Look(service, newPark().list(), []wire.DomainName{"a", "b"})
	if count(wanted, "a", false) != 1 || count(wanted, "a", true) != 7 || count(wanted, "b", true) != 7 {
		t.Errorf("got %+v", wanted)
	}
	steady := &route.Service{Name: "s", Scale: &route.Scale{Min: 2, Max: 4}}
	wanted = s.Look(steady, nil, []wire.DomainName{"a"})
	if count(wanted, "a", false) != 2 || count(wanted, "a", true) != 0 {
		t.Errorf("without spot endpoints: %+v", wanted)
	}
	if s.Look(&route.Service{Name: "p"}, nil, []wire.DomainName{"a"}) != nil {
		t.Error("a service that is not scaled was scaled")
	}
}

// TestReclaimUnderLoad is the pattern of a failure domain whose spot engines are all reclaimed while prompts wait, with none to
// be had for a while.
func TestReclaimUnderLoad(t *testing.T) {
	for _, load := range []int{0, 20000} {
		p := newPark()
		p.add("a", false, roster.Decode, 1)
		p.add("a", true, roster.Prefill, 7)
		for _, e := range p.list() {
			e.SetPeers(load, 0)
		}
		s := fleet.NewScaler(policy)
		domains := []wire.DomainName{"a"}
		for range 10 {
			if n := count(s.Look(service, p.list(), domains), "a", false); n != 1 {
				t.Fatalf("load %d: %d steady endpoints before the reclaim", load, n)
			}
		}
		p.reclaim("a")
		wanted := s.Look(service, p.list(), domains)
		want := 1
		if load > 0 {
			want = 4
		}
		if count(wanted, "a", false) != want || count(wanted, "a", true) != 7 {
			t.Errorf("load %d: after the reclaim %+v", load, wanted)
		}
		s.Refused("a")
		p.add("a", true, roster.Decode, 4)
		if n := count(s.Look(service, p.list(), domains), "a", false); n != 1 && load == 0 {
			t.Errorf("%d steady endpoints once spot ones are back", n)
		}
	}
}

// TestChangesComeToRest drives the changes of stages and holds that they end, leave both stages in each domain and never take
// the last engine of a stage.
func TestChangesComeToRest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPark()
		for _, d := range []wire.DomainName{"a", "b"} {
			p.add(d, true, roster.Decode, rapid.IntRange(0, 8).Draw(t, "decode"))
			p.add(d, true, roster.Prefill, rapid.IntRange(0, 8).Draw(t, "prefill"))
		}
		for n := 0; ; n++ {
			changes := policy.Changes(p.list())
			if len(changes) == 0 {
				break
			}
			if n > 20 {
				t.Fatal("the changes do not end")
			}
			for _, c := range changes {
				entry := *c.Endpoint.Entry()
				entry.Stage = c.To
				p.directory.Put(entry)
			}
		}
		stages := map[wire.DomainName]map[roster.Stage]int{"a": {}, "b": {}}
		for _, e := range p.list() {
			stages[e.Entry().Domain][e.Entry().Stage]++
		}
		for d, n := range stages {
			if all := n[roster.Prefill] + n[roster.Decode]; all > 1 && (n[roster.Prefill] == 0 || n[roster.Decode] == 0) {
				t.Fatalf("domain %s has %v", d, n)
			}
		}
	})
}

func TestYoungestEngineChanges(t *testing.T) {
	p := newPark()
	p.add("a", false, roster.Decode, 4)
	changes := policy.Changes(p.list())
	if len(changes) != 1 || changes[0].Endpoint.Entry().ID != "0004" || changes[0].To != roster.Prefill {
		t.Errorf("got %+v", changes)
	}
}

// TestNewHolderKeepsStandIns lets the duties change hands while a failure domain's spot endpoints are reclaimed and prompts wait. A
// holder that let the stand-ins go would leave the domain without engines for the time that others take to start.
func TestNewHolderKeepsStandIns(t *testing.T) {
	p := newPark()
	p.add("a", false, roster.Prefill, 4)
	p.add("b", false, roster.Decode, 1)
	p.add("b", true, roster.Prefill, 7)
	domains := []wire.DomainName{"a", "b"}
	s := fleet.NewScaler(policy)
	for range 10 {
		wanted := s.Look(service, p.list(), domains)
		if count(wanted, "a", false) != 4 || count(wanted, "b", false) != 1 {
			t.Fatalf("the new holder wants %+v", wanted)
		}
	}
	p.add("a", true, roster.Prefill, 7)
	if wanted := s.Look(service, p.list(), domains); count(wanted, "a", false) != 1 {
		t.Errorf("once the spot endpoints are back: %+v", wanted)
	}
}

func TestFirstHolderOfADeploymentOrdersSpotEndpoints(t *testing.T) {
	p := newPark()
	p.add("a", false, roster.Decode, 4)
	if wanted := fleet.NewScaler(policy).Look(service, p.list(), []wire.DomainName{"a"}); count(wanted, "a", false) != 1 || count(wanted, "a", true) != 7 {
		t.Errorf("the first holder wants %+v", wanted)
	}
}

package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"cowslipshunt.example/serving/placement"
	"cowslipshunt.example/serving/quarantine"
	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
	"github.com/jonboulle/clockwork"
)

// firstHold and secondHold are how long a quarantine lasts at first, and after a probe that crashed an endpoint.
const (
	firstHold  = time.Minute
	secondHold = 2 * time.Minute
)

// cluster is a number of instances that exchange reports without loss.
type cluster struct {
	t         *testing.T
	clock     *clockwork.FakeClock
	instances []*quarantine.Table
	requests  int
}

func newCluster(t *testing.T, instances int) *cluster {
	c := &cluster{t: t, clock: clockwork.NewFakeClock()}
	for i := range instances {
		c.instances = append(c.instances, quarantine.New(c.clock, quarantine.WithRank(func() int { return i })))
	}
	return c
}

// admit reports whether an instance lets a request with the shared parts pass.
func (c *cluster) admit(instance int, names ...string) (wire.RequestId, bool) {
	c.requests++
	id := wire.RequestId(fmt.Sprint(c.requests))
	p := promptOf(c.requests, names...)
	_, admitted := c.instances[instance].Admit(id, &p)
	return id, admitted
}

// crash has a run with the shared parts break off at an endpoint of its own.
func (c *cluster) crash(instance int, names ...string) {
	c.requests++
	p := promptOf(c.requests, names...)
	sent := c.clock.Now()
	c.pass(step)
	c.instances[instance].Crashed(roster.Key{ID: wire.EndpointId(fmt.Sprint("e", c.requests)), Born: 1}, &p, sent)
}

// pass lets a time pass in which all instances report.
func (c *cluster) pass(d time.Duration) {
	for end := c.clock.Now().Add(d); c.clock.Now().Before(end); {
		c.clock.Advance(min(time.Second, end.Sub(c.clock.Now())))
		for i, from := range c.instances {
			evidence, _ := from.Next()
			for k, to := range c.instances {
				if evidence != nil && k != i {
					to.Apply(evidence)
				}
			}
		}
	}
}

// quarantine has a part crash endpoints until all instances hold its requests.
func (c *cluster) quarantine(name string) {
	c.t.Helper()
	for range 4 {
		c.crash(0, name)
		c.pass(time.Second)
	}
	for i := range c.instances {
		if _, admitted := c.admit(i, name); admitted {
			c.t.Fatalf("instance %d admits a request with %s", i, name)
		}
	}
}

// TestOneProbeIsSentAfterQuarantine guards against a crash at each instance when a quarantine ends: all instances together let one request
// through, and hold the part for longer if it crashes an endpoint.
func TestOneProbeIsSentAfterQuarantine(t *testing.T) {
	c := newCluster(t, 3)
	c.quarantine("bad")
	c.pass(firstHold)
	probe, admitted := c.admit(0, "bad")
	if !admitted {
		t.Fatal("no probe was let through")
	}
	for i := range c.instances {
		if _, admitted := c.admit(i, "bad"); admitted {
			t.Fatalf("instance %d let another request through", i)
		}
	}
	p := promptOf(0, "bad")
	c.instances[0].Crashed(roster.Key{ID: "probed", Born: 1}, &p, c.clock.Now())
	if _, again := c.instances[0].Admit(probe, &p); again {
		t.Error("the probe was let through once more after it had crashed an endpoint")
	}
	c.pass(secondHold / 2)
	for i := range c.instances {
		if _, admitted := c.admit(i, "bad"); admitted {
			t.Errorf("instance %d let a request through after the probe had failed", i)
		}
	}
	c.pass(secondHold / 2)
	if _, admitted := c.admit(0, "bad"); !admitted {
		t.Error("no second probe was let through")
	}
}

// TestProbeThatCompletesEndsQuarantine guards against a quarantine of a part that no longer crashes endpoints.
func TestProbeThatCompletesEndsQuarantine(t *testing.T) {
	c := newCluster(t, 3)
	c.quarantine("bad")
	c.pass(firstHold)
	if _, admitted := c.admit(0, "bad"); !admitted {
		t.Fatal("no probe was let through")
	}
	p := promptOf(0, "bad")
	c.instances[0].Completed(&p)
	c.pass(time.Second)
	for i := range c.instances {
		if _, admitted := c.admit(i, "bad"); !admitted {
			t.Errorf("instance %d still holds the part", i)
		}
	}
}

// TestQuarantineIsExact guards against sound requests that are held with those that crash endpoints: by their caller's first part, by
// parts that precede the one at fault, or before it is known which part is.
func TestQuarantineIsExact(t *testing.T) {
	c := newCluster(t, 2)
	for range 4 {
		c.crash(0, "first", "bad")
		c.pass(time.Second)
	}
	for i := range c.instances {
		if _, admitted := c.admit(i, "first"); !admitted {
			t.Errorf("instance %d holds the first part", i)
		}
		if _, admitted := c.admit(i, "other", "first", "bad"); admitted {
			t.Errorf("instance %d admits the parts at fault", i)
		}
	}
	sound := promptOf(0, "first")
	c.instances[1].Completed(&sound)
	c.pass(time.Second)
	for i := range c.instances {
		if _, admitted := c.admit(i, "other", "bad"); admitted {
			t.Errorf("instance %d admits the part at fault among others", i)
		}
	}
	// A last part is specific to its request and is never held.
	p := placement.NewPrompt(100, 10, []placement.Part{{Name: "first", Tokens: 50}, {Name: "bad", Tokens: 50}})
	if _, admitted := c.instances[0].Admit("last", &p); !admitted {
		t.Error("a request with the part as its last one was held")
	}
}

// TestBreakOffsAtLivingEndpointsAreNoEvidence guards against a quarantine of sound parts while connections are reset on the way: an endpoint
// that answers a run that was sent later has not crashed.
func TestBreakOffsAtLivingEndpointsAreNoEvidence(t *testing.T) {
	c := newCluster(t, 3)
	for i := range 10 {
		p := promptOf(i, "rare")
		k := roster.Key{ID: wire.EndpointId(fmt.Sprint("e", i)), Born: 1}
		sent := c.clock.Now()
		c.clock.Advance(step)
		c.instances[0].Crashed(k, &p, sent)
		c.pass(step)
		c.instances[1].Answered(k, c.clock.Now())
		c.pass(time.Second)
	}
	for i := range c.instances {
		if _, admitted := c.admit(i, "rare"); !admitted {
			t.Errorf("instance %d holds a sound part", i)
		}
	}
}

// TestEvidenceIsBounded guards against memory, and reports, that grow with the crashes and parts of a long outage.
func TestEvidenceIsBounded(t *testing.T) {
	const crashes, parts, maxReportedParts, maxReportedCrashes = 2000, 40, 24, 6
	c := newCluster(t, 1)
	for i := range crashes {
		var names []string
		for k := range parts {
			names = append(names, fmt.Sprint("part-", i, "-", k))
		}
		p := promptOf(i, names...)
		c.instances[0].Crashed(roster.Key{ID: "e", Born: int64(i)}, &p, c.clock.Now())
	}
	evidence, urgent := c.instances[0].Next()
	reported := 0
	for _, crash := range evidence.Crashes {
		reported += len(crash.Parts)
	}
	if !urgent || len(evidence.Crashes) == 0 || len(evidence.Crashes) > maxReportedCrashes || reported > maxReportedParts {
		t.Errorf("a report has %d crashes with %d parts, urgent %v", len(evidence.Crashes), reported, urgent)
	}
	c.pass(2 * time.Minute)
	if evidence, _ := c.instances[0].Next(); evidence != nil {
		t.Errorf("reports still have %+v", evidence)
	}
}

// TestCalmRequestsAllocateNothing guards against cost on the path of requests while nothing crashes.
func TestCalmRequestsAllocateNothing(t *testing.T) {
	c := newCluster(t, 1)
	p := promptOf(1, "first", "second")
	c.instances[0].Completed(&p)
	n := testing.AllocsPerRun(100, func() {
		_, _ = c.instances[0].Admit("r", &p)
		c.instances[0].Completed(&p)
	})
	if n > 0 {
		t.Errorf("a request makes %v allocations", n)
	}
}

// TestNewHoldTakesThePlaceOfAnOldOne guards against an instance that stops for good: with as many holds as are kept, all of which last longer
// than a new one, the new one was dropped and found again without end.
func TestNewHoldTakesThePlaceOfAnOldOne(t *testing.T) {
	const maxHolds = 64
	clock := clockwork.NewFakeClock()
	table := quarantine.New(clock)
	for i := range maxHolds {
		table.Apply(&quarantine.Evidence{Holds: []quarantine.Hold{{Parts: []quarantine.PartID{quarantine.PartID(i + 1)}, Left: time.Hour.Milliseconds(), Level: 6}}})
	}
	deadly := promptOf(1, "deadly")
	for i := range 4 {
		sent := clock.Now()
		clock.Advance(400 * time.Millisecond)
		table.Crashed(roster.Key{ID: wire.EndpointId(fmt.Sprint("e", i)), Born: 1}, &deadly, sent)
		table.Next()
	}
	if _, admitted := table.Admit("r", &deadly); admitted {
		t.Error("the part that crashed four endpoints is not held")
	}
}

// TestAllHoldsAreReported guards against holds that an instance that starts later never learns, as there are more than a report has room for.
func TestAllHoldsAreReported(t *testing.T) {
	const holds, reports = 12, 20
	clock := clockwork.NewFakeClock()
	table := quarantine.New(clock)
	for i := range holds {
		table.Apply(&quarantine.Evidence{Holds: []quarantine.Hold{{Parts: []quarantine.PartID{quarantine.PartID(i + 1)}, Left: time.Hour.Milliseconds()}}})
	}
	seen := map[quarantine.PartID]bool{}
	for range reports {
		clock.Advance(time.Second)
		if e, _ := table.Next(); e != nil {
			for _, h := range e.Holds {
				seen[h.Parts[0]] = true
			}
		}
	}
	if len(seen) != holds {
		t.Errorf("%d of %d holds are in %d reports", len(seen), holds, reports)
	}
}

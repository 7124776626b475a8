package lease_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"cowslipshunt.example/shared/lease"
	"cowslipshunt.example/shared/tabletest"
	"cowslipshunt.example/wire"
	"pgregory.net/rapid"
)

const (
	testTerm    = 3 * time.Second
	testTimeout = time.Second
	// maxDrift is the largest relative deviation of a clock's rate from true time.
	maxDrift = 0.1
	// maxKeepers limits the number of processes; a new one starts after each release until then.
	maxKeepers = 7
)

// driftingClocks are the clocks of one process. They advance with true time at their own rates.
type driftingClocks struct {
	monotonic     time.Duration
	wall          time.Time
	monotonicRate float64
	wallRate      float64
	// suspended stops the monotonic clock.
	suspended bool
	// paused means that the process does not step.
	paused bool
	// calling means that the process waits for the table's answer.
	calling bool
	// canSuspend is true for a machine that may be suspended. On any other machine the wall clock may be set back.
	canSuspend bool
}

func (c *driftingClocks) Monotonic() time.Duration { return c.monotonic }
func (c *driftingClocks) Wall() time.Time          { return c.wall }

func (c *driftingClocks) advance(d time.Duration) {
	c.wall = c.wall.Add(time.Duration(math.Round(float64(d) * c.wallRate)))
	if !c.suspended {
		c.monotonic += time.Duration(math.Round(float64(d) * c.monotonicRate))
	}
}

// leaseModel runs several keepers of one lease against a table with faults. It checks that at most one of them believes that
// it holds the lease, that no epoch has two holders, that the holder's epoch never decreases, and that no instance holds it again within
// a term after another one did in between.
type leaseModel struct {
	t       *rapid.T
	table   *tabletest.Table
	clocks  []*driftingClocks
	keepers []*lease.Keeper
	// holders maps each epoch to the index of the keeper that held it.
	holders map[wire.Epoch]int
	// highest is the highest epoch held so far.
	highest wire.Epoch
	// now is the true time, instances the instance of each keeper, lastHeld when each instance held the lease last, and lastHolder the
	// instance that did so last of all.
	now        time.Duration
	instances  []wire.InstanceName
	lastHeld   map[wire.InstanceName]time.Duration
	lastHolder wire.InstanceName
	// restored is set if the table may be restored, so that each keeper has a client of its own.
	restored bool
	// holdersBefore is the number of epochs that were held before the last restore.
	holdersBefore int
	// faultsOff turns all faults and delays off.
	faultsOff bool
}

func newLeaseModel(t *rapid.T, options ...func(*leaseModel)) *leaseModel {
	m := &leaseModel{t: t, table: tabletest.New(), holders: map[wire.Epoch]int{}, lastHeld: map[wire.InstanceName]time.Duration{}}
	m.table.Fault = m.fault
	m.table.QueryFails = func() bool { return !m.faultsOff && rapid.IntRange(0, 29).Draw(t, "query") == 0 }
	m.table.Delay = m.delay
	for _, o := range options {
		o(m)
	}
	for range rapid.IntRange(2, 3).Draw(t, "keepers") {
		m.start(wire.InstanceName(fmt.Sprint(len(m.keepers))))
	}
	return m
}

// start starts a process on an instance.
func (m *leaseModel) start(instance wire.InstanceName) {
	n := len(m.keepers)
	rate := rapid.SampledFrom([]float64{1 - maxDrift, 1, 1 + maxDrift})
	c := &driftingClocks{wall: time.Unix(1e9, 0), monotonicRate: rate.Draw(m.t, "monotonic rate"), wallRate: rate.Draw(m.t, "wall rate")}
	c.canSuspend = rapid.Bool().Draw(m.t, "suspends")
	self := lease.Identity{Instance: instance, Incarnation: wire.IncarnationId(fmt.Sprint(n))}
	m.clocks = append(m.clocks, c)
	m.instances = append(m.instances, instance)
	options := []lease.Option{lease.WithTerm(testTerm), lease.WithOrderTimeout(testTimeout)}
	var table lease.Table = m.table
	if m.restored {
		client := tabletest.NewClient(m.table)
		table, options = client, append(options, lease.WithEra(client.Era))
	}
	m.keepers = append(m.keepers, lease.NewKeeper(lease.Usage, self, table, c, options...))
}

func (m *leaseModel) fault() tabletest.Fault {
	if m.faultsOff {
		return tabletest.None
	}
	switch rapid.IntRange(0, 15).Draw(m.t, "fault") {
	case 0:
		return tabletest.Refused
	case 1, 2:
		return tabletest.Lost
	case 3:
		return tabletest.Late
	}
	return tabletest.None
}

func (m *leaseModel) delay() {
	if !m.faultsOff && rapid.IntRange(0, 11).Draw(m.t, "slow") == 0 {
		m.run(rapid.IntRange(1, 8).Draw(m.t, "delay"), testTimeout/2)
	}
}

func (m *leaseModel) advance(d time.Duration) {
	m.now += d
	for _, c := range m.clocks {
		c.advance(d)
	}
	m.check()
}

func (m *leaseModel) check() {
	holders := 0
	for i, k := range m.keepers {
		b := k.Belief()
		if !b.Holds {
			continue
		}
		holders++
		if first, ok := m.holders[b.Epoch]; ok && first != i {
			m.t.Fatalf("keepers %d and %d both held epoch %d", first, i, b.Epoch)
		}
		if b.Epoch < m.highest {
			m.t.Fatalf("keeper %d holds epoch %d after epoch %d", i, b.Epoch, m.highest)
		}
		m.holders[b.Epoch], m.highest = i, b.Epoch
		if !m.restored {
			m.checkTurns(m.instances[i])
		}
	}
	m.checkTenures()
	if holders > 1 {
		m.t.Fatalf("%d keepers believe that they hold the lease", holders)
	}
}

// checkTenures checks that no other keeper has a settled tenure while that of one has time left.
func (m *leaseModel) checkTenures() {
	for i, k := range m.keepers {
		if m.clocks[i].paused || k.Tenure().Left <= 0 {
			continue
		}
		for j, other := range m.keepers {
			if i != j && other.Belief().Holds && other.Tenure().Settled {
				m.t.Fatalf("keeper %d has a settled tenure while keeper %d has %v left", j, i, k.Tenure().Left)
			}
		}
	}
}

// checkTurns checks that the instance that holds the lease now did not hold it within a term before another one did.
func (m *leaseModel) checkTurns(holder wire.InstanceName) {
	held, ok := m.lastHeld[holder]
	if ok && m.lastHolder != holder && m.now-held < testTerm {
		m.t.Fatalf("instance %s holds the lease again %v after it held it, with %s in between", holder, m.now-held, m.lastHolder)
	}
	m.lastHeld[holder], m.lastHolder = m.now, holder
}

// anyKeeper draws the index of a keeper.
func (m *leaseModel) anyKeeper() int {
	return rapid.IntRange(0, len(m.keepers)-1).Draw(m.t, "keeper")
}

// run advances the clocks by interval and steps every keeper that is not paused, the given number of times.
func (m *leaseModel) run(steps int, interval time.Duration) {
	for range steps {
		m.advance(interval)
		for i, k := range m.keepers {
			m.step(m.clocks[i], k)
		}
	}
}

// step calls a keeper's Step unless the process is paused or a call is still in progress.
func (m *leaseModel) step(c *driftingClocks, k *lease.Keeper) {
	if c.paused || c.calling {
		return
	}
	c.calling = true
	_ = k.Step(m.t.Context())
	c.calling = false
	m.check()
}

func (m *leaseModel) release(i int) {
	c := m.clocks[i]
	if c.paused {
		return
	}
	c.calling = true
	_ = m.keepers[i].Release(m.t.Context())
	c.calling = false
	if len(m.keepers) < maxKeepers {
		m.start(rapid.SampledFrom(m.instances).Draw(m.t, "instance"))
	}
}

func TestAtMostOneKeeperBelievesItHoldsTheLease(t *testing.T) {
	heldEpochs := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newLeaseModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { m.check() },
			"run": func(*rapid.T) {
				m.run(rapid.IntRange(1, 12).Draw(t, "steps"), testTimeout/2)
			},
			"take over": func(*rapid.T) {
				c := m.clocks[m.anyKeeper()]
				c.paused = true
				m.run(20, testTimeout/4)
				c.paused = false
			},
			"pause": func(*rapid.T) {
				c := m.clocks[m.anyKeeper()]
				c.paused = true
				c.suspended = c.canSuspend
			},
			"resume": func(*rapid.T) {
				c := m.clocks[m.anyKeeper()]
				c.paused, c.suspended = false, false
			},
			"set wall back": func(*rapid.T) {
				if c := m.clocks[m.anyKeeper()]; !c.canSuspend {
					c.wall = c.wall.Add(-testTerm)
				}
			},
			"late":    func(*rapid.T) { m.table.ApplyLate() },
			"release": func(*rapid.T) { m.release(m.anyKeeper()) },
		})
		heldEpochs += len(m.holders)
	})
	if heldEpochs == 0 {
		t.Error("no keeper ever held the lease")
	}
}

func TestALeaseIsHeldAgainOnceFaultsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLeaseModel(t)
		for range rapid.IntRange(0, 20).Draw(t, "steps") {
			i := m.anyKeeper()
			m.step(m.clocks[i], m.keepers[i])
		}
		m.faultsOff = true
		m.run(40, testTimeout/2)
		m.checkOneHolds()
	})
}

func (m *leaseModel) checkOneHolds() {
	for _, k := range m.keepers {
		if epoch, ok := k.Guard(testTimeout); ok {
			answer, err := k.Transact(m.t.Context(), wire.TransactRequest{})
			if err != nil || !answer.Committed || epoch != k.Belief().Epoch {
				m.t.Fatalf("the holder's transaction failed: %v %v", answer, err)
			}
			return
		}
	}
	m.t.Fatal("no keeper holds the lease")
}

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
	// maxDrift is how much faster or slower than true time a clock may go.
	maxDrift = 0.1
	// maxKeepers bounds the processes that come after released ones.
	maxKeepers = 5
)

// twoClocks are the clocks of one process, which true time drives.
type twoClocks struct {
	monotonic     time.Duration
	wall          time.Time
	monotonicRate float64
	wallRate      float64
	suspended     bool
	// paused is a process that takes no steps.
	paused bool
	// calling is a process that waits for the table's answer.
	calling bool
	// suspends tells whether this machine is one that gets suspended or one whose wall clock is set back.
	suspends bool
}

func (c *twoClocks) Monotonic() time.Duration { return c.monotonic }
func (c *twoClocks) Wall() time.Time          { return c.wall }

func (c *twoClocks) advance(d time.Duration) {
	c.wall = c.wall.Add(time.Duration(math.Round(float64(d) * c.wallRate)))
	if !c.suspended {
		c.monotonic += time.Duration(math.Round(float64(d) * c.monotonicRate))
	}
}

// leaseModel drives keepers of one lease; its oracle is that never two believe to hold it and that no epoch has two
// holders.
type leaseModel struct {
	t       *rapid.T
	table   *tabletest.Table
	clocks  []*twoClocks
	keepers []*lease.Keeper
	holders map[wire.Epoch]int
	highest wire.Epoch
	calm    bool
}

func newLeaseModel(t *rapid.T) *leaseModel {
	m := &leaseModel{t: t, table: tabletest.New(), holders: map[wire.Epoch]int{}}
	m.table.Fault = m.fault
	m.table.QueryFails = func() bool { return !m.calm && rapid.IntRange(0, 29).Draw(t, "query") == 0 }
	m.table.Delay = m.delay
	for range rapid.IntRange(2, 3).Draw(t, "keepers") {
		m.start()
	}
	return m
}

func (m *leaseModel) start() {
	n := len(m.keepers)
	rate := rapid.SampledFrom([]float64{1 - maxDrift, 1, 1 + maxDrift})
	c := &twoClocks{wall: time.Unix(1e9, 0), monotonicRate: rate.Draw(m.t, "monotonic rate"), wallRate: rate.Draw(m.t, "wall rate")}
	c.suspends = rapid.Bool().Draw(m.t, "suspends")
	self := lease.Identity{Instance: wire.InstanceName(fmt.Sprint(n)), Incarnation: wire.IncarnationId(fmt.Sprint(n))}
	m.clocks = append(m.clocks, c)
	m.keepers = append(m.keepers, lease.NewKeeper(lease.Usage, self, m.table, c, lease.WithTerm(testTerm), lease.WithOrderTimeout(testTimeout)))
}

func (m *leaseModel) fault() tabletest.Fault {
	if m.calm {
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
	if !m.calm && rapid.IntRange(0, 11).Draw(m.t, "slow") == 0 {
		m.run(rapid.IntRange(1, 8).Draw(m.t, "delay"), testTimeout/2)
	}
}

func (m *leaseModel) advance(d time.Duration) {
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
	}
	if holders > 1 {
		m.t.Fatalf("%d keepers believe to hold the lease", holders)
	}
}

func (m *leaseModel) pick() int {
	return rapid.IntRange(0, len(m.keepers)-1).Draw(m.t, "keeper")
}

// run lets time go on and every running keeper take its steps.
func (m *leaseModel) run(steps int, every time.Duration) {
	for range steps {
		m.advance(every)
		for i, k := range m.keepers {
			m.step(m.clocks[i], k)
		}
	}
}

// step takes one step of a keeper that is not paused and whose last call has come back.
func (m *leaseModel) step(c *twoClocks, k *lease.Keeper) {
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
		m.start()
	}
}

func TestNeverTwoBelieveToHoldALease(t *testing.T) {
	held := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newLeaseModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { m.check() },
			"run": func(*rapid.T) {
				m.run(rapid.IntRange(1, 12).Draw(t, "steps"), testTimeout/2)
			},
			"take over": func(*rapid.T) {
				c := m.clocks[m.pick()]
				c.paused = true
				m.run(20, testTimeout/4)
				c.paused = false
			},
			"pause": func(*rapid.T) {
				c := m.clocks[m.pick()]
				c.paused = true
				c.suspended = c.suspends
			},
			"resume": func(*rapid.T) {
				c := m.clocks[m.pick()]
				c.paused, c.suspended = false, false
			},
			"set wall back": func(*rapid.T) {
				if c := m.clocks[m.pick()]; !c.suspends {
					c.wall = c.wall.Add(-testTerm)
				}
			},
			"late":    func(*rapid.T) { m.table.DeliverLate() },
			"release": func(*rapid.T) { m.release(m.pick()) },
		})
		held += len(m.holders)
	})
	if held == 0 {
		t.Error("no keeper ever held the lease")
	}
}

func TestALeaseIsHeldAgainOnceFaultsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLeaseModel(t)
		for range rapid.IntRange(0, 20).Draw(t, "steps") {
			i := m.pick()
			m.step(m.clocks[i], m.keepers[i])
		}
		m.calm = true
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

package truetime_test

import (
	"testing"
	"time"

	"cowslipshunt.example/serving/truetime"
	"cowslipshunt.example/shared/tabletest"
)

// machine has a monotonic clock, and a wall clock that may jump.
type machine struct {
	monotonic time.Duration
	wall      time.Time
}

func (m *machine) clock() *truetime.Clock {
	return truetime.New(func() time.Duration { return m.monotonic }, func() time.Time { return m.wall })
}

func TestInstancesAgreeThoughWallClocksJump(t *testing.T) {
	table := tabletest.New()
	first := &machine{wall: time.Unix(1e9, 0)}
	second := &machine{wall: time.Unix(1e9+7, 0)}
	a, b := first.clock(), second.clock()
	if a.Agreed() || !a.Now().Equal(first.wall) {
		t.Error("a clock without an agreed time does not show the wall clock")
	}
	a.Observe(40 * time.Second)
	b.Observe(40 * time.Second)
	for _, c := range []*truetime.Clock{a, b} {
		if err := c.Agree(t.Context(), table); err != nil {
			t.Fatal(err)
		}
	}
	first.wall = first.wall.Add(-2400 * time.Millisecond)
	first.monotonic += 3 * time.Second
	second.monotonic += 3 * time.Second
	want := time.Unix(1e9+3, 0)
	if !a.Now().Equal(want) || !b.Now().Equal(want) {
		t.Errorf("got %v and %v, want %v", a.Now(), b.Now(), want)
	}
}

func TestDelayedAnswerDoesNotSetTheClockBack(t *testing.T) {
	m := &machine{wall: time.Unix(1e9, 0)}
	c := m.clock()
	c.Observe(10 * time.Second)
	c.SetBase(time.Unix(1e9-10, 0))
	m.monotonic += 2 * time.Second
	c.Observe(11 * time.Second)
	if got := c.Now(); !got.Equal(time.Unix(1e9+2, 0)) {
		t.Errorf("got %v", got)
	}
}

func TestBaseIsReadBackAfterLostAnswerToProposal(t *testing.T) {
	table := tabletest.New()
	m := &machine{wall: time.Unix(1e9, 0)}
	c := m.clock()
	c.Observe(time.Second)
	table.Fault = func() tabletest.Fault { return tabletest.Lost }
	if err := c.Agree(t.Context(), table); err == nil || c.Agreed() {
		t.Fatal("the clock counts as agreed although the answer to its proposal was lost")
	}
	table.Fault = func() tabletest.Fault { return tabletest.None }
	m.wall = m.wall.Add(time.Hour)
	if err := c.Agree(t.Context(), table); err != nil {
		t.Fatal(err)
	}
	if got := c.Now(); !got.Equal(time.Unix(1e9, 0)) {
		t.Errorf("got %v, want the base that was written", got)
	}
}

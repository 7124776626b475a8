package truetime_test

import (
	"testing"
	"time"

	"cowslipshunt.example/serving/truetime"
	"cowslipshunt.example/shared/tabletest"
)

// machine has a steady clock and a time of day that may jump.
type machine struct {
	steady time.Duration
	wall   time.Time
}

func (m *machine) clock() *truetime.Clock {
	return truetime.New(func() time.Duration { return m.steady }, func() time.Time { return m.wall })
}

func TestInstancesAgreeThoughTheTimeOfDayJumps(t *testing.T) {
	table := tabletest.New()
	first := &machine{wall: time.Unix(1e9, 0)}
	second := &machine{wall: time.Unix(1e9+7, 0)}
	a, b := first.clock(), second.clock()
	if a.Agreed() || !a.Now().Equal(first.wall) {
		t.Error("a clock that knows nothing does not tell the time of day")
	}
	a.Observe(40 * time.Second)
	b.Observe(40 * time.Second)
	for _, c := range []*truetime.Clock{a, b} {
		if err := c.Agree(t.Context(), table); err != nil {
			t.Fatal(err)
		}
	}
	first.wall = first.wall.Add(-2400 * time.Millisecond)
	first.steady += 3 * time.Second
	second.steady += 3 * time.Second
	want := time.Unix(1e9+3, 0)
	if !a.Now().Equal(want) || !b.Now().Equal(want) {
		t.Errorf("got %v and %v, want %v", a.Now(), b.Now(), want)
	}
}

func TestAnswerThatWasHeldUpDoesNotSetTheClockBack(t *testing.T) {
	m := &machine{wall: time.Unix(1e9, 0)}
	c := m.clock()
	c.Observe(10 * time.Second)
	c.SetBase(time.Unix(1e9-10, 0))
	m.steady += 2 * time.Second
	c.Observe(11 * time.Second)
	if got := c.Now(); !got.Equal(time.Unix(1e9+2, 0)) {
		t.Errorf("got %v", got)
	}
}

func TestLostAnswerToTheProposalIsReadBack(t *testing.T) {
	table := tabletest.New()
	m := &machine{wall: time.Unix(1e9, 0)}
	c := m.clock()
	c.Observe(time.Second)
	table.Fault = func() tabletest.Fault { return tabletest.Lost }
	if err := c.Agree(t.Context(), table); err == nil || c.Agreed() {
		t.Fatal("a lost answer was taken for agreement")
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

package truetime_test

import (
	"errors"
	"testing"
	"time"

	"cowslipshunt.example/serving/truetime"
	"cowslipshunt.example/shared/tabletest"
)

// TestBaseIsWrittenAgainAfterRestore guards against an agreed time that jumps because a restored store has lost the base and an instance
// that starts then proposes another one.
func TestBaseIsWrittenAgainAfterRestore(t *testing.T) {
	table := tabletest.New()
	empty := table.Backup()
	wall := time.Unix(1e9, 0)
	start := func() *truetime.Clock {
		c := truetime.New(func() time.Duration { return 0 }, func() time.Time { return wall })
		c.Observe(time.Second)
		return c
	}
	c := start()
	if err := c.Agree(t.Context(), table); err != nil {
		t.Fatal(err)
	}
	table.Restore(empty)
	if err := c.Restore(t.Context(), table); err != nil {
		t.Fatal(err)
	}
	wall = wall.Add(time.Hour)
	second := start()
	if found, err := second.Adopt(t.Context(), table); !found || err != nil || !second.Now().Equal(c.Now()) {
		t.Errorf("found %v, %v: the agreed time is %v and %v", found, err, second.Now(), c.Now())
	}
	table.Restore(empty)
	if err := start().Agree(t.Context(), table); err != nil {
		t.Fatal(err)
	}
	var other *truetime.OtherBaseError
	before := c.Now()
	if err := c.Restore(t.Context(), table); !errors.As(err, &other) || !c.Now().Equal(before) {
		t.Errorf("the agreed time went from %v to %v, %v", before, c.Now(), err)
	}
}

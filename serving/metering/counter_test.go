package metering_test

import (
	"testing"
	"time"

	"cowslipshunt.example/serving/metering"
	"cowslipshunt.example/shared/tabletest"
)

const windowLength = 5 * time.Second

func TestRequestsCountInTheWindowInWhichTheyBegan(t *testing.T) {
	now := time.Unix(1e9, 0)
	c := metering.NewCounter(windowLength, func() time.Time { return now })
	first := c.At(now)
	c.Began("a")
	c.Began("a")
	c.Began("")
	now = now.Add(windowLength)
	c.Began("b")
	dirty := c.Dirty()
	if len(dirty) != 2 || dirty[first]["a"] != 2 || len(dirty[first]) != 1 || dirty[first+1]["b"] != 1 {
		t.Errorf("got %v", dirty)
	}
	if end := c.End(first); !end.Equal(time.Unix(1e9, 0).Add(windowLength)) {
		t.Errorf("the window ends at %v", end)
	}
}

func TestCountsThatRoseWhileTheyWereWrittenAreWrittenAgain(t *testing.T) {
	now := time.Unix(1e9, 0)
	c := metering.NewCounter(windowLength, func() time.Time { return now })
	c.Began("a")
	written := c.Dirty()
	c.Began("a")
	c.MarkWritten(written, 1)
	if c.Dirty()[c.At(now)]["a"] != 2 {
		t.Error("a window whose count rose after it was read was marked as written")
	}
}

func TestUnwrittenCountsAreNotForgotten(t *testing.T) {
	now := time.Unix(1e9, 0)
	table := tabletest.New()
	c := metering.NewCounter(windowLength, func() time.Time { return now })
	c.Began("a")
	table.Fault = func() tabletest.Fault { return tabletest.Refused }
	if err := c.Write(t.Context(), table, "i", "1"); err == nil {
		t.Fatal("a refused write returned no error")
	}
	now = now.Add(time.Hour)
	c.Forget(now)
	table.Fault = func() tabletest.Fault { return tabletest.None }
	if err := c.Write(t.Context(), table, "i", "1"); err != nil {
		t.Fatal(err)
	}
	if rows := table.Rows(metering.CountTable, ""); len(rows) != 1 || string(rows[0].Value) != `{"Counts":{"a":1},"Written":"2001-09-09T02:46:40Z"}` {
		t.Errorf("got %v", rows)
	}
}

// TestLateWriteDoesNotLowerCounts delays a write in the store until after a newer write of the same row.
func TestLateWriteDoesNotLowerCounts(t *testing.T) {
	now := time.Unix(1e9, 0)
	table := tabletest.New()
	c := metering.NewCounter(windowLength, func() time.Time { return now })
	write := func(fault tabletest.Fault) {
		c.Began("a")
		table.Fault = func() tabletest.Fault { return fault }
		err := c.Write(t.Context(), table, "i", "1")
		if (err != nil) != (fault != tabletest.None) {
			t.Fatal(err)
		}
	}
	write(tabletest.None)
	write(tabletest.Late)
	write(tabletest.None)
	table.ApplyLate()
	write(tabletest.Lost)
	write(tabletest.None)
	if rows := table.Rows(metering.CountTable, ""); len(rows) != 1 || string(rows[0].Value) != `{"Counts":{"a":5},"Written":"2001-09-09T01:46:40Z"}` {
		t.Errorf("got %s", rows[0].Value)
	}
	write(tabletest.Late)
	write(tabletest.None)
	table.ApplyLate()
	if rows := table.Rows(metering.CountTable, ""); string(rows[0].Value) != `{"Counts":{"a":7},"Written":"2001-09-09T01:46:40Z"}` {
		t.Errorf("a late write overwrote newer counts: %s", rows[0].Value)
	}
}

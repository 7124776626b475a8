package metering_test

import (
	"testing"
	"time"

	"cowslipshunt.example/serving/metering"
	"cowslipshunt.example/shared/tabletest"
)

const length = 5 * time.Second

func TestRequestsCountInTheWindowInWhichTheyBegan(t *testing.T) {
	now := time.Unix(1e9, 0)
	c := metering.NewCounter(length, func() time.Time { return now })
	first := c.At(now)
	c.Began("a")
	c.Began("a")
	c.Began("")
	now = now.Add(length)
	c.Began("b")
	dirty := c.Dirty()
	if len(dirty) != 2 || dirty[first]["a"] != 2 || len(dirty[first]) != 1 || dirty[first+1]["b"] != 1 {
		t.Errorf("got %v", dirty)
	}
	if end := c.End(first); !end.Equal(time.Unix(1e9, 0).Add(length)) {
		t.Errorf("the window ends at %v", end)
	}
}

func TestCountsThatRoseWhileTheyWereWrittenAreWrittenAgain(t *testing.T) {
	now := time.Unix(1e9, 0)
	c := metering.NewCounter(length, func() time.Time { return now })
	c.Began("a")
	written := c.Dirty()
	c.Began("a")
	c.Written(written)
	if c.Dirty()[c.At(now)]["a"] != 2 {
		t.Error("a count that rose meanwhile was taken for written")
	}
}

func TestUnwrittenCountsAreNotForgotten(t *testing.T) {
	now := time.Unix(1e9, 0)
	table := tabletest.New()
	c := metering.NewCounter(length, func() time.Time { return now })
	c.Began("a")
	table.Fault = func() tabletest.Fault { return tabletest.Refused }
	if err := c.Write(t.Context(), table, "i"); err == nil {
		t.Fatal("a refused write was no error")
	}
	now = now.Add(time.Hour)
	c.Forget(now)
	table.Fault = func() tabletest.Fault { return tabletest.None }
	if err := c.Write(t.Context(), table, "i"); err != nil {
		t.Fatal(err)
	}
	if rows := table.Rows(metering.CountTable, ""); len(rows) != 1 || string(rows[0].Value) != `{"a":1}` {
		t.Errorf("got %v", rows)
	}
}

package metering_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cowslipshunt.example/serving/metering"
	"cowslipshunt.example/wire"
	"pgregory.net/rapid"
)

// oddValues are values of rows that another writer may leave among those of usage.
var oddValues = []string{
	"", "\xff", "[]", "7", `"x"`, strings.Repeat("[", 10_001), `{"Counts":` + strings.Repeat("[", 10_001), `{"Counts":{"w":1e400}}`, `{"Counts":{"w":-5}}`,
	`{"Counts":{"w":9223372036854775807}}`, `{"Counts":{"w":"1"}}`, `{"Counts":[1]}`, `{"Written":"now"}`, `{"Window":9223372036854775807,"Counts":{}}`,
	`{"Window":-1,"Counts":{}}`, `{"Window":1,"Counts":{"w":1}}`,
}

// TestOddUsageRowsStopNoReports guards against a row of another writer, among the counts or the windows, after which no usage is reported
// any more or no process starts to report.
func TestOddUsageRowsStopNoReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newUsageModel(t)
		m.faultless = true
		first := m.instances[0].counter.At(m.clock.now)
		var writes []wire.Write
		put := func(table, key, value string) {
			writes = append(writes, wire.Write{Table: table, Key: key, Value: []byte(value)})
		}
		for _, table := range []string{metering.CountTable, metering.WindowTable} {
			for i, value := range oddValues {
				for _, prefix := range []string{"!", "odd", "-1/", "999999999999999999999999/", "99999/"} {
					put(table, fmt.Sprint(prefix, i), value)
				}
			}
			value := rapid.SampledFrom(oddValues).Draw(t, "value")
			put(table, "", value)
			put(table, fmt.Sprintf("%012d/", first+1), value)
		}
		put(metering.CountTable, fmt.Sprintf("%012d", first), rapid.SampledFrom(oddValues).Draw(t, "value"))
		m.table.Commit(wire.TransactRequest{Writes: writes})
		for range 8 {
			for _, i := range m.instances {
				m.began(i)
			}
			m.run(time.Second)
		}
		m.run(30 * time.Second)
		for w, n := range m.begun {
			if got := m.platform.reports[w]["w"]; got != n {
				t.Errorf("window %d was reported with %d requests of %d", w, got, n)
			}
		}
	})
}

// TestWindowWithUnusableRowIsNotReportedAgain guards against a window that keeps those after it from being reported, because another writer
// has overwritten its row, and against a second report of it with other counts.
func TestWindowWithUnusableRowIsNotReportedAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newUsageModel(t)
		m.faultless = true
		for range 6 {
			m.began(m.instances[0])
			m.run(time.Second)
		}
		next := m.instances[0].counter.At(m.clock.now) + 1
		m.table.Commit(wire.TransactRequest{Writes: []wire.Write{{Table: metering.WindowTable, Key: fmt.Sprintf("%012d", next), Value: []byte("[")}}})
		m.kill(0)
		for range 30 {
			m.began(m.instances[0])
			m.run(time.Second)
		}
		m.run(30 * time.Second)
		if _, reported := m.platform.reports[next]; reported {
			t.Error("the window was reported, though it may have been reported before")
		}
		for w, n := range m.begun {
			if got := m.platform.reports[w]["w"]; w != next && got != n {
				t.Errorf("window %d was reported with %d requests of %d", w, got, n)
			}
		}
		if m.late[next] != m.begun[next] {
			t.Errorf("%d of %d requests of the window were logged", m.late[next], m.begun[next])
		}
	})
}

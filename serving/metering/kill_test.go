package metering_test

import (
	"testing"
	"time"

	"cowslipshunt.example/serving/metering"
	"cowslipshunt.example/shared/tabletest"
	"pgregory.net/rapid"
)

// longWriteInterval is the interval at which the instances of a large deployment write their counts.
const longWriteInterval = 4 * time.Second

// newLargeModel returns a faultless model with the times of a large deployment on the users' platform, where a report is due 10 s after
// the end of its window.
func newLargeModel(t *rapid.T) *usageModel {
	m := newUsageModelWithBounds(t, metering.Bounds{FreezeDelay: 7 * time.Second, GoneTimeout: 14 * time.Second})
	m.faultless, m.writeInterval = true, longWriteInterval
	return m
}

// serve lets each instance begin a request every half second.
func (m *usageModel) serve(d time.Duration) {
	for range int(d / metering.CopyInterval) {
		for _, i := range m.instances {
			m.began(i)
		}
		m.run(metering.CopyInterval)
	}
}

// checkReportedInFull checks that each window was reported with all requests that began in it, and none was found late.
func (m *usageModel) checkReportedInFull() {
	m.t.Helper()
	for w, n := range m.begun {
		if got := m.platform.reports[w]["w"]; got != n {
			m.t.Errorf("window %d was reported with %d requests of %d", w, got, n)
		}
	}
	if len(m.late) > 0 {
		m.t.Errorf("counts %v were found too late to be reported", m.late)
	}
}

// TestKilledInstancesLoseNoCopiedCounts kills instances of a large deployment, whose writes are seconds apart, at any moment of a
// window. Some start again at once, others do not. What they had counted must be in the reports.
func TestKilledInstancesLoseNoCopiedCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLargeModel(t)
		for range 3 {
			m.instances = append(m.instances, m.start(len(m.instances)))
		}
		m.silentRestarts = rapid.Bool().Draw(t, "silent restarts")
		m.serve(2 * windowLength)
		for range rapid.IntRange(1, 2).Draw(t, "kills") {
			m.serve(time.Duration(rapid.IntRange(1, 20).Draw(t, "before")) * metering.CopyInterval)
			n := rapid.IntRange(0, len(m.instances)-1).Draw(t, "instance")
			if rapid.Bool().Draw(t, "starts again") {
				m.kill(n)
			} else {
				m.instances = append(m.instances[:n:n], m.instances[n+1:]...)
			}
		}
		m.serve(2 * windowLength)
		m.run(4 * windowLength)
		m.checkReportedInFull()
	})
}

// TestInstanceCutOffFromTheStoreIsCountedByItsPeers lets the store reject the calls of one instance for longer than a window waits. Its
// peers, which it reaches, must write its counts.
func TestInstanceCutOffFromTheStoreIsCountedByItsPeers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLargeModel(t)
		cut := m.instances[rapid.IntRange(0, 2).Draw(t, "instance")]
		m.serve(2 * windowLength)
		cut.cutOff = true
		m.serve(time.Duration(rapid.IntRange(1, 30).Draw(t, "cut")) * metering.CopyInterval)
		m.run(4 * windowLength)
		m.checkReportedInFull()
	})
}

// TestFirstCountsAfterAPauseAreReported lets one of several instances begin requests at any moment of a window, after windows without
// any, so that no window waits for it. Its counts must be in the report.
func TestFirstCountsAfterAPauseAreReported(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLargeModel(t)
		paused := m.start(len(m.instances))
		serve := func(ticks int, others ...*instance) {
			for range ticks {
				for _, i := range append(others, m.instances[:3]...) {
					m.began(i)
				}
				m.run(metering.CopyInterval)
			}
		}
		m.instances = append(m.instances, paused)
		paused.nextWrite = m.clock.now.Add(time.Duration(rapid.IntRange(1, 7).Draw(t, "phase")) * metering.CopyInterval)
		serve(rapid.IntRange(20, 40).Draw(t, "before"))
		serve(rapid.IntRange(1, 3).Draw(t, "requests"), paused)
		serve(30)
		m.run(4 * windowLength)
		m.checkReportedInFull()
	})
}

// TestStoppedInstanceDelaysNoWindow stops an instance of three for good. The window of its stop is frozen without waiting for it.
func TestStoppedInstanceDelaysNoWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLargeModel(t)
		m.writeInterval = time.Second
		m.serve(2*windowLength + time.Duration(rapid.IntRange(0, 8).Draw(t, "before"))*metering.CopyInterval)
		stopped := m.instances[0].counter.At(m.clock.now)
		if err := m.instances[0].writer.Close(t.Context(), m.clock.now); err != nil {
			t.Fatal(err)
		}
		m.instances = m.instances[1:]
		// Another instance takes the lease once that of the stopped one has ended.
		m.serve(m.instances[0].counter.End(stopped+1).Sub(m.clock.now) + 2*time.Second)
		if _, reported := m.platform.reports[stopped+1]; !reported {
			t.Errorf("window %d waits for an instance that stopped in window %d", stopped+1, stopped)
		}
		m.run(2*windowLength + settle)
		m.checkReportedInFull()
	})
}

// TestLostWithdrawalLeavesNoLateCounts loses the withdrawal of a hand-off. The peer must not write counts that a frozen window already
// includes: they would be logged as not reported.
func TestLostWithdrawalLeavesNoLateCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLargeModel(t)
		m.writeInterval = time.Second
		m.serve(2 * windowLength)
		lossy := rapid.IntRange(1, 9).Draw(t, "lossy")
		m.losesDatagram = func() bool { return rapid.IntRange(0, 9).Draw(t, "datagram") < lossy }
		m.serve(time.Duration(rapid.IntRange(1, 20).Draw(t, "served")) * metering.CopyInterval)
		m.losesDatagram = func() bool { return true }
		m.run(4 * windowLength)
		m.checkReportedInFull()
		if rows := m.table.Rows(metering.CountTable, ""); len(rows) > 0 {
			t.Errorf("%d rows of counts are left", len(rows))
		}
	})
}

// TestHandoffOfFrozenWindowIsDropped writes a hand-off after its window was frozen and its row removed.
func TestHandoffOfFrozenWindowIsDropped(t *testing.T) {
	now := time.Unix(1e9, 0)
	for _, included := range []bool{true, false} {
		h := newHandoffFixture(t)
		h.table = tabletest.New()
		written := now
		if !included {
			written = now.Add(-time.Second)
		}
		h.putWindow(7, map[string]time.Time{"i/1": written})
		h.handoffs.Keep(handoff(now, 3, true), now)
		h.write(now)
		if rows := h.table.Rows(metering.CountTable, ""); (len(rows) == 0) != included {
			t.Errorf("included %v: %d rows were written", included, len(rows))
		}
	}
}

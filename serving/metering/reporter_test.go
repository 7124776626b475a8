package metering_test

import (
	"testing"
	"time"

	"cowslipshunt.example/serving/metering"
	"pgregory.net/rapid"
)

func TestEachWindowHasOneSetOfCountsUnderKillsAndLostAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newUsageModel(t)
		m.losesDatagram = func() bool { return rapid.IntRange(0, 9).Draw(t, "datagram") == 0 }
		randomIndex := func() int { return rapid.IntRange(0, len(m.instances)-1).Draw(t, "instance") }
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) {},
			"began": func(*rapid.T) {
				i := m.instances[randomIndex()]
				for range rapid.IntRange(1, 5).Draw(t, "requests") {
					m.began(i)
				}
			},
			"run":  func(*rapid.T) { m.run(time.Duration(rapid.IntRange(1, 4).Draw(t, "seconds")) * time.Second) },
			"late": func(*rapid.T) { m.table.ApplyLate() },
			"kill": func(*rapid.T) { m.kill(randomIndex()) },
			"stop": func(*rapid.T) { m.stop(randomIndex()) },
			"down": func(*rapid.T) { m.storeDown = !m.storeDown },
			"interval": func(*rapid.T) {
				m.writeInterval = time.Duration(rapid.IntRange(0, 4).Draw(t, "interval")) * time.Second
			},
		})
		m.faultless, m.storeDown = true, false
		m.run(30 * time.Second)
		m.checkAllReported()
	})
}

// Without faults, every request is reported.
func TestWindowsAreReportedInFullWithoutFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newUsageModel(t)
		m.faultless = true
		m.run(10 * time.Second)
		for range rapid.IntRange(1, 20).Draw(t, "seconds") {
			for _, i := range m.instances {
				for range rapid.IntRange(0, 3).Draw(t, "requests") {
					m.began(i)
				}
			}
			m.run(time.Second)
		}
		m.run(windowLength + settle + 2*time.Second)
		for w, n := range m.begun {
			if got := m.platform.reports[w]["w"]; got != n {
				t.Fatalf("window %d was reported with %d requests of %d", w, got, n)
			}
		}
		if rows := m.table.Rows(metering.CountTable, ""); len(rows) > 6 {
			t.Errorf("%d rows of counts are left", len(rows))
		}
	})
}

// TestGoneInstanceDoesNotDelayLaterWindows removes one of three instances for good. The window after the one of its last write
// must not wait for it: if the store failed during the wait, the report would be late.
func TestGoneInstanceDoesNotDelayLaterWindows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newUsageModel(t)
		m.faultless = true
		began := func(list []*instance, d time.Duration) {
			for range int(d / time.Second) {
				for _, i := range list {
					m.began(i)
				}
				m.run(time.Second)
			}
		}
		silent := time.Duration(rapid.IntRange(0, 4).Draw(t, "silent")) * time.Second
		began(m.instances, 2*windowLength+silent)
		lost := m.instances[0].counter.At(m.clock.now)
		m.instances = m.instances[1:]
		end := m.instances[0].counter.End(lost + 1)
		began(m.instances, end.Sub(m.clock.now)+2*time.Second)
		m.clock.now = end.Add(settle - 2*time.Second)
		m.run(time.Second)
		if _, reported := m.platform.reports[lost+1]; !reported {
			t.Errorf("window %d waits for an instance that wrote last in window %d; reported windows: %v", lost+1, lost, m.platform.reports)
		}
	})
}

// In a large deployment a window has more rows of counts than one transaction removes. Rows that remained would count as late.
func TestCountsOfManyInstancesAreNotFoundLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newUsageModel(t)
		m.faultless = true
		for range rapid.IntRange(60, 150).Draw(t, "more") {
			m.instances = append(m.instances, m.start(len(m.instances)))
		}
		for range 3 {
			for _, i := range m.instances {
				m.began(i)
			}
			m.run(windowLength)
		}
		m.run(2*windowLength + settle)
		if len(m.late) > 0 {
			t.Errorf("counts %v of %d instances were found late", m.late, len(m.instances))
		}
	})
}

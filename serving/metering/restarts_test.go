package metering_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"cowslipshunt.example/serving/metering"
	"cowslipshunt.example/shared/tabletest"
	"cowslipshunt.example/wire"
	"pgregory.net/rapid"
)

// absence is an instance that has ended and starts again, as a new incarnation, after a number of steps.
type absence struct{ machine, steps int }

// restartsModel is a model whose instances stop and start again at any time around restores of the table.
type restartsModel struct {
	*usageModel
	machines []int
	absent   []absence
	// backups are copies of the table after each of the last steps, the newest last.
	backups []tabletest.Backup
	marks   int
}

// maxBackupAge is the age of the oldest backup in steps.
const maxBackupAge = 20

// markedWindows is how many windows before the present one get marks.
const markedWindows = 4

func newRestartsModel(t *rapid.T) *restartsModel {
	m := &restartsModel{usageModel: newRestorableModel(t)}
	m.instances = m.instances[:rapid.IntRange(1, len(m.instances)).Draw(t, "instances")]
	for n := range m.instances {
		m.machines = append(m.machines, n)
	}
	return m
}

// mark stores counts of the last windows that are not frozen, others at each step, so that a window that is frozen twice has other counts the
// second time.
func (m *restartsModel) mark() {
	m.marks++
	last := metering.Window(m.clock.now.UnixMilli() / windowLength.Milliseconds())
	for w := last - markedWindows; w <= last; w++ {
		key := fmt.Sprintf("%012d", w)
		if len(m.table.Rows(metering.WindowTable, key)) > 0 {
			continue
		}
		value := fmt.Sprintf(`{"Counts":{"mark":%d},"Written":%q,"Ended":true}`, m.marks, m.clock.now.UTC().Format(time.RFC3339Nano))
		m.table.Commit(wire.TransactRequest{Writes: []wire.Write{{Table: metering.CountTable, Key: key + "/mark/mark", Value: []byte(value)}}})
	}
}

// tick lets the instances serve for a step, and starts those whose absence ends.
func (m *restartsModel) tick() {
	m.mark()
	m.serve(metering.CopyInterval)
	m.backups = append(m.backups, m.table.Backup())
	m.backups = m.backups[max(0, len(m.backups)-maxBackupAge):]
	var absent []absence
	for _, a := range m.absent {
		if a.steps--; a.steps > 0 {
			absent = append(absent, a)
			continue
		}
		m.arrive(a.machine)
	}
	m.absent = absent
}

// arrive starts an incarnation of a machine, of which the others hear.
func (m *restartsModel) arrive(machine int) {
	i := m.start(machine)
	m.instances, m.machines = append(m.instances, i), append(m.machines, machine)
	m.heard(i)
}

// leave ends the instance at an index, gracefully or not, for a number of steps.
func (m *restartsModel) leave(index, steps int, graceful bool) {
	i := m.instances[index]
	if graceful {
		m.shutDown(i)
	}
	m.absent = append(m.absent, absence{m.machines[index], steps})
	m.instances = append(m.instances[:index:index], m.instances[index+1:]...)
	m.machines = append(m.machines[:index:index], m.machines[index+1:]...)
}

// leaveAll ends all instances at once.
func (m *restartsModel) leaveAll(steps int, graceful bool) {
	for len(m.instances) > 0 {
		m.leave(0, steps, graceful)
	}
}

// roll stops the instances one after the other and starts each again.
func (m *restartsModel) roll(gap, away int) {
	for _, machine := range append([]int(nil), m.machines...) {
		for index, n := range m.machines {
			if n == machine {
				m.leave(index, away, true)
				break
			}
		}
		for range gap {
			m.tick()
		}
	}
}

// restore restores the table from a backup of a number of steps ago.
func (m *restartsModel) restore(age int) {
	m.table.Restore(m.backups[max(0, len(m.backups)-1-age)])
	m.backups = nil
	m.backups = append(m.backups, m.table.Backup())
}

// settleAll ends all absences, and runs until all windows are settled.
func (m *restartsModel) settleAll() {
	m.faultless, m.losesDatagram, m.storeDown = true, nil, false
	for _, i := range m.instances {
		i.cutOff = false
	}
	for len(m.absent) > 0 {
		m.tick()
	}
	m.run(6 * windowLength)
	m.checkAllReported()
}

// TestRestartsAroundRestoreReportEachWindowOnce guards against a window that is reported again with other counts, as instances are stopped
// in turn, killed at once and started at any time around restores of the store: no process may be left that knows what was reported.
func TestRestartsAroundRestoreReportEachWindowOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newRestartsModel(t)
		lossy := rapid.IntRange(0, 3).Draw(t, "lossy")
		m.losesDatagram = func() bool { return lossy > 0 && rapid.IntRange(0, 9).Draw(t, "datagram") < lossy }
		steps := func(name string, most int) int { return rapid.IntRange(0, most).Draw(t, name) }
		for range 2*int(windowLength/metering.CopyInterval) + steps("before", 20) {
			m.tick()
		}
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			switch rapid.SampledFrom([]string{"roll", "roll, then restore", "kill all", "kill all, then restore", "stop all", "end one", "restore", "restore", "cut off", "outage", "faults"}).Draw(t, "event") {
			case "roll":
				m.roll(steps("gap", 6), 1+steps("away", 3))
			case "roll, then restore":
				m.roll(1+steps("gap", 6), 1+steps("away", 3))
				m.restore(steps("age", maxBackupAge))
			case "kill all":
				m.leaveAll(1+steps("away", 6), false)
			case "kill all, then restore":
				m.leaveAll(1+steps("away", 6), false)
				m.restore(steps("age", maxBackupAge))
			case "stop all":
				m.leaveAll(1+steps("away", 3), true)
			case "end one":
				if len(m.instances) > 0 {
					m.leave(steps("index", len(m.instances)-1), 1+steps("away", 12), rapid.Bool().Draw(t, "graceful"))
				}
			case "restore":
				m.restore(steps("age", maxBackupAge))
			case "cut off":
				if len(m.instances) > 0 {
					i := m.instances[steps("index", len(m.instances)-1)]
					i.cutOff = !i.cutOff
				}
			case "outage":
				m.storeDown = !m.storeDown
			case "faults":
				m.faultless = !m.faultless
			}
			for range steps("then", 14) {
				m.tick()
			}
		}
		m.settleAll()
	})
}

// holder returns the index of an instance that believes that it holds the lease, or -1.
func (m *restartsModel) holder() int {
	for index, i := range m.instances {
		if i.keeper.Belief().Holds {
			return index
		}
	}
	return -1
}

// until lets the instances serve until a window is frozen, or reported, but not for longer than two windows.
func (m *restartsModel) until(reported bool) {
	state := func() int {
		if reported {
			return len(m.platform.reports)
		}
		rows := m.table.Rows(metering.WindowTable, "")
		if len(rows) == 0 {
			return 0
		}
		n, _ := strconv.Atoi(rows[len(rows)-1].Key)
		return n
	}
	before := state()
	for range 2 * int(windowLength/metering.CopyInterval) {
		if m.tick(); state() != before {
			return
		}
	}
}

// TestRestoreBesideReportContradictsNone guards against a window that is frozen again after it was reported: datagrams are lost, and the
// holder of the lease ends or loses the store just as it freezes or reports the window and the store is restored.
func TestRestoreBesideReportContradictsNone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newRestartsModel(t)
		steps := func(name string, most int) int { return rapid.IntRange(0, most).Draw(t, name) }
		lossy := 0
		m.losesDatagram = func() bool { return lossy > 0 && rapid.IntRange(0, 4).Draw(t, "datagram") < lossy }
		for range 2*int(windowLength/metering.CopyInterval) + steps("before", 10) {
			m.tick()
		}
		for range rapid.IntRange(1, 3).Draw(t, "rounds") {
			lossy = steps("lossy", 5)
			for range steps("lossy for", 3) {
				m.tick()
			}
			m.until(rapid.Bool().Draw(t, "reported"))
			for range rapid.IntRange(1, 3).Draw(t, "events") {
				h := m.holder()
				switch event := rapid.SampledFrom([]string{"end", "cut off", "restore", "restore", "lossy"}).Draw(t, "event"); {
				case event == "end" && h >= 0:
					m.leave(h, 1+steps("away", 12), rapid.Bool().Draw(t, "graceful"))
				case event == "cut off" && h >= 0:
					m.instances[h].cutOff = true
				case event == "restore":
					m.restore(steps("age", 8))
				case event == "lossy":
					lossy = steps("lossy", 5)
				}
				for range steps("then", 5) {
					m.tick()
				}
			}
			for range steps("until the next", 14) {
				m.tick()
			}
			for _, i := range m.instances {
				i.cutOff = i.cutOff && rapid.Bool().Draw(t, "still cut off")
			}
		}
		m.settleAll()
	})
}

// TestRollingRestartBesideRestoreLosesNoWindow guards against counts, and knowledge of what was reported, that are lost although each process
// ran beside one that had them: the processes are stopped in turn, and the store is restored as the last one has ended or soon after.
func TestRollingRestartBesideRestoreLosesNoWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newRestartsModel(t)
		for len(m.instances) < 2 {
			m.arrive(len(m.instances))
		}
		for range 2*int(windowLength/metering.CopyInterval) + rapid.IntRange(0, 20).Draw(t, "before") {
			m.tick()
		}
		m.roll(rapid.IntRange(3, 8).Draw(t, "gap"), 1)
		for range rapid.IntRange(0, 4).Draw(t, "until the restore") {
			m.tick()
		}
		m.restore(rapid.IntRange(0, maxBackupAge).Draw(t, "age"))
		m.settleAll()
		m.checkReportedInFull()
		if m.withheld > 0 {
			t.Errorf("%d windows were withheld", m.withheld)
		}
	})
}

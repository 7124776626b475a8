package lease_test

import (
	"testing"

	"cowslipshunt.example/shared/tabletest"
	"pgregory.net/rapid"
)

// TestRestoredTableHasOneHolder guards against two holders at a time, and against an epoch with two holders or below an earlier one, as a
// table loses what keepers wrote and assigns the revisions again that they know.
func TestRestoredTableHasOneHolder(t *testing.T) {
	heldAfterRestore := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newLeaseModel(t, func(m *leaseModel) { m.restored = true })
		backups := []tabletest.Backup{m.table.Backup()}
		restore := func() {
			m.table.Restore(rapid.SampledFrom(backups).Draw(t, "backup"))
			backups = []tabletest.Backup{m.table.Backup()}
			m.holdersBefore = len(m.holders)
		}
		t.Repeat(map[string]func(*rapid.T){
			"":        func(*rapid.T) { m.check() },
			"run":     func(*rapid.T) { m.run(rapid.IntRange(1, 12).Draw(t, "steps"), testTimeout/2) },
			"backup":  func(*rapid.T) { backups = append(backups, m.table.Backup()) },
			"restore": func(*rapid.T) { restore() },
			"restore during calls": func(*rapid.T) {
				delay, left := m.table.Delay, rapid.IntRange(1, 3).Draw(t, "calls")
				m.table.Delay = func() {
					delay()
					if left--; left == 0 {
						m.table.Delay = delay
						restore()
					}
				}
			},
			"pause": func(*rapid.T) {
				c := m.clocks[m.anyKeeper()]
				c.paused = true
				c.suspended = c.canSuspend
			},
			"resume": func(*rapid.T) {
				c := m.clocks[m.anyKeeper()]
				c.paused, c.suspended = false, false
			},
			"late":    func(*rapid.T) { m.table.ApplyLate() },
			"release": func(*rapid.T) { m.release(m.anyKeeper()) },
		})
		if m.table.Era() > 0 && len(m.holders) > m.holdersBefore {
			heldAfterRestore++
		}
	})
	if heldAfterRestore == 0 {
		t.Error("no keeper ever held the lease after a restore")
	}
}

// TestLeaseIsHeldAgainAfterRestore guards against a lease that nobody holds after a restore.
func TestLeaseIsHeldAgainAfterRestore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLeaseModel(t, func(m *leaseModel) { m.restored = true })
		m.run(rapid.IntRange(0, 20).Draw(t, "steps before the backup"), testTimeout/2)
		backup := m.table.Backup()
		for range rapid.IntRange(1, 2).Draw(t, "restores") {
			m.run(rapid.IntRange(0, 20).Draw(t, "steps"), testTimeout/2)
			m.table.Restore(backup)
		}
		m.faultsOff = true
		m.run(40, testTimeout/2)
		m.checkOneHolds()
	})
}

// TestHolderKeepsLeaseOfRestoredTable guards against duties that rest for a lease's term at each restore although their holder is alive.
func TestHolderKeepsLeaseOfRestoredTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLeaseModel(t, func(m *leaseModel) { m.restored, m.faultsOff = true, true })
		backup := m.table.Backup()
		holder := -1
		for n := range 100 {
			m.run(1, testTimeout/4)
			for i, k := range m.keepers {
				if k.Belief().Holds && holder < 0 {
					holder = i
				}
			}
			if n == 40 || n == 70 {
				m.table.Restore(backup)
			}
			if holder >= 0 && !m.keepers[holder].Belief().Holds {
				t.Fatalf("keeper %d does not hold the lease any more in step %d", holder, n)
			}
		}
		if holder < 0 {
			t.Fatal("no keeper ever held the lease")
		}
	})
}

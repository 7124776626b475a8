package lease

import (
	"slices"
	"time"

	"cowslipshunt.example/wire"
)

// maxRecent is how many earlier holders a row names.
const maxRecent = 4

// available reports whether this process may acquire the lease: the row is absent, this process's own, released, or unchanged for longer
// than its term plus the order timeout. After a release, an instance that held the lease shortly before the last holder waits as long as
// after an expiry: its orders and those of that holder would alternate within a term.
func (k *Keeper) available() bool {
	if k.foreign == nil {
		return k.current.revision != 0 || k.maySucceedEarlierEra()
	}
	row := k.foreign.row
	if row.Incarnation == "" && !heldBeforeLastHolder(row, k.self.Instance) {
		return true
	}
	return k.clock.Monotonic()-k.foreign.firstRead > k.wait(row)
}

// wait returns how long a row has to stay unchanged until its holder cannot believe any more that it holds the lease.
func (k *Keeper) wait(row wire.LeaseRow) time.Duration {
	return time.Duration(row.TermMillis)*time.Millisecond + k.orderTimeout
}

// heldBeforeLastHolder reports whether an instance held a released lease shortly before the one that released it, which the row names first.
func heldBeforeLastHolder(row wire.LeaseRow, instance wire.InstanceName) bool {
	return len(row.Recent) > 0 && slices.Contains(row.Recent[1:], instance)
}

// sameState reports whether two rows are the same state of the lease: each write of a process has its own renewal number.
func sameState(a, b wire.LeaseRow) bool {
	return a.Incarnation == b.Incarnation && a.Epoch == b.Epoch && a.Renewal == b.Renewal
}

// recent returns the instances that the next row names as earlier holders. They are dropped once they have not held the lease for a term:
// at an expiry, and by a holder that has held it for that long.
func (k *Keeper) recent() []wire.InstanceName {
	row := k.current.row
	if k.Belief().Holds {
		if k.clock.Monotonic()-k.acquired > k.wait(row) {
			return nil
		}
		return row.Recent
	}
	if row.Incarnation != "" {
		return nil
	}
	list := make([]wire.InstanceName, 0, maxRecent)
	for _, name := range row.Recent {
		if name != k.self.Instance && len(list) < maxRecent {
			list = append(list, name)
		}
	}
	return list
}

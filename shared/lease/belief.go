package lease

import (
	"context"
	"time"

	"cowslipshunt.example/wire"
)

// Belief is a process's view of a lease at one moment, derived from its last confirmed renewal and its own clocks. The
// table may already have a newer row.
type Belief struct {
	Holds bool
	Epoch wire.Epoch
	// Left is the time until the lease expires if it is not renewed; zero if it is not held.
	Left time.Duration
}

// Name returns the lease's name.
func (k *Keeper) Name() wire.LeaseName {
	return k.name
}

// Belief returns this process's current view of the lease.
func (k *Keeper) Belief() Belief {
	k.mu.Lock()
	defer k.mu.Unlock()
	left := k.term - readClocks(k.clock).elapsedSince(k.renewed)
	if !k.held || left <= 0 {
		return Belief{Epoch: k.epoch}
	}
	return Belief{Holds: true, Epoch: k.epoch, Left: left}
}

// Guard returns the lease's epoch and reports whether the lease is held for at least margin from now. Callers check it
// right before they send anything under the lease.
func (k *Keeper) Guard(margin time.Duration) (wire.Epoch, bool) {
	b := k.Belief()
	return b.Epoch, b.Holds && b.Left >= margin
}

// maxTransactAttempts limits the attempts at one transaction; an attempt fails if the lease is renewed in the meantime.
const maxTransactAttempts = 4

// Transact commits a request only if the lease's row still names this process and epoch. If one of the request's own checks
// fails, it returns the uncommitted answer without an error. The error is ErrNotHeld if the lease is not held, if the row
// names another process or epoch, or if renewals made all attempts fail.
func (k *Keeper) Transact(ctx context.Context, r wire.TransactRequest) (wire.TransactAnswer, error) {
	k.mu.Lock()
	held, epoch, revision, heldEra := k.held, k.epoch, k.revision, k.heldEra
	k.mu.Unlock()
	if !held || heldEra != k.tableEra() {
		return wire.TransactAnswer{}, ErrNotHeld
	}
	callerChecks := r.Checks
	for range maxTransactAttempts {
		r.Checks = append([]wire.Check{{Table: TableName, Key: rowKey(k.name, heldEra), Revision: revision}}, callerChecks...)
		answer, err := k.table.Transact(ctx, r)
		if err != nil || answer.Committed {
			return answer, err
		}
		if heldEra != k.tableEra() {
			return answer, ErrNotHeld
		}
		current, err := findRow(k.name, rowKey(k.name, heldEra), answer.Conflicts)
		if err != nil {
			return answer, err
		}
		if current.revision == 0 {
			return answer, nil
		}
		if current.row.Incarnation != k.self.Incarnation || current.row.Epoch != epoch {
			return answer, ErrNotHeld
		}
		revision = current.revision
	}
	return wire.TransactAnswer{}, ErrNotHeld
}

// markHeld records that an attempt took effect, so the term counts from when it was sent.
func (k *Keeper) markHeld(a attempt, revision wire.Revision) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.held = true
	k.epoch = a.row.Epoch
	k.revision = revision
	k.heldEra = k.era
	k.renewed, k.unclaimed = a.sent, a.sent
	if a.tenure != nil {
		k.tenure = *a.tenure
	}
}

func (k *Keeper) markNotHeld() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.held = false
}

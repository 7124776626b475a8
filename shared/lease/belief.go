package lease

import (
	"context"
	"time"

	"cowslipshunt.example/wire"
)

// Belief is what a process believes about a lease at one moment.
type Belief struct {
	Holds bool
	Epoch wire.Epoch
	// Left is the time until the belief ends without a renewal.
	Left time.Duration
}

// Name returns the lease's name.
func (k *Keeper) Name() wire.LeaseName {
	return k.name
}

// Belief returns what this process believes now.
func (k *Keeper) Belief() Belief {
	k.mu.Lock()
	defer k.mu.Unlock()
	left := k.term - read(k.clock).since(k.renewed)
	if !k.held || left <= 0 {
		return Belief{Epoch: k.epoch}
	}
	return Belief{Holds: true, Epoch: k.epoch, Left: left}
}

// Guard tells whether the lease is held for at least margin more, and with which epoch. It is to be asked right before
// each send under the lease.
func (k *Keeper) Guard(margin time.Duration) (wire.Epoch, bool) {
	b := k.Belief()
	return b.Epoch, b.Holds && b.Left >= margin
}

// transactTries bounds how often a transaction is repeated because a renewal came between.
const transactTries = 4

// Transact commits a request only if the lease's row still names this process and epoch. A conflict of the request's own
// checks is left to the caller. The error is ErrNotHeld if another process has the lease.
func (k *Keeper) Transact(ctx context.Context, r wire.TransactRequest) (wire.TransactAnswer, error) {
	k.mu.Lock()
	held, epoch, revision := k.held, k.epoch, k.revision
	k.mu.Unlock()
	if !held {
		return wire.TransactAnswer{}, ErrNotHeld
	}
	own := r.Checks
	for range transactTries {
		r.Checks = append([]wire.Check{k.check(revision)}, own...)
		answer, err := k.table.Transact(ctx, r)
		if err != nil || answer.Committed {
			return answer, err
		}
		row, err := decode(k.name, answer.Conflicts)
		if err != nil {
			return answer, err
		}
		if row.revision == 0 {
			return answer, nil
		}
		if row.row.Incarnation != k.self.Incarnation || row.row.Epoch != epoch {
			return answer, ErrNotHeld
		}
		revision = row.revision
	}
	return wire.TransactAnswer{}, ErrNotHeld
}

func (k *Keeper) gain(a attempt, revision wire.Revision) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.held = true
	k.epoch = a.row.Epoch
	k.revision = revision
	k.renewed = a.sent
}

func (k *Keeper) lose() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.held = false
}

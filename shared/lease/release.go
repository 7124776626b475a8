package lease

import (
	"context"

	"cowslipshunt.example/wire"
)

// Release releases the lease for good, so that another process need not wait for it to expire. The caller must have no order
// in flight. Later calls of Step do nothing.
func (k *Keeper) Release(ctx context.Context) error {
	k.ObserveEra()
	k.mu.Lock()
	held, epoch, revision := k.held && k.heldEra == k.era, k.epoch, k.revision
	k.held, k.released = false, true
	k.mu.Unlock()
	if !held {
		return nil
	}
	row := wire.LeaseRow{
		Lease:      k.name,
		Epoch:      epoch,
		Renewal:    k.renewal + 1,
		TermMillis: int(k.term.Milliseconds()),
		Recent:     append([]wire.InstanceName{k.self.Instance}, k.recentHolders...),
	}
	sent := readClocks(k.clock)
	answer, err := k.write(ctx, row, revision)
	if err != nil {
		return err
	}
	if !answer.Committed {
		return ErrNotHeld
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.release = &sent
	return nil
}

package lease

import (
	"time"

	"cowslipshunt.example/wire"
)

const (
	// maxClockDrift is the largest relative deviation of a clock's rate from true time on which a tenure relies.
	maxClockDrift = 0.1
	// settleOrders is how long a tenure has to last until it is settled, in order timeouts.
	settleOrders = 4
)

// Tenure is the time in which one process has held the lease without a break, also over restores of the table. Unlike its belief, it goes on
// for a while after the term: until another process may have a settled tenure. What must not be done by two holders, however late one of them
// learns of the other, is to be done in a settled tenure only.
type Tenure struct {
	// First is the first epoch of the tenure, 0 if there is none.
	First wire.Epoch
	// Left is how long from now no other process can have a settled tenure.
	Left time.Duration
	// Confirmed is how long ago the last renewal that took effect was sent.
	Confirmed time.Duration
	// Settled is set if no earlier holder's tenure had time left at the last renewal.
	Settled bool
}

// tenureStart is the start of a tenure.
type tenureStart struct {
	first        wire.Epoch
	sent         clockReading
	afterRelease bool
}

// Tenure returns the present tenure.
func (k *Keeper) Tenure() Tenure {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.held {
		return Tenure{}
	}
	now := readClocks(k.clock)
	left := max(k.exclusive(k.renewed), -now.elapsedSince(k.unclaimed)) + withDrift(k.settle())
	return Tenure{
		First:     k.tenure.first,
		Left:      left,
		Confirmed: now.elapsedSince(k.renewed),
		Settled:   k.renewed.leastSince(k.tenure.sent) > k.settleTime(k.tenure),
	}
}

// LeftAtRelease returns how long from now no other process can have a settled tenure after this one released the lease, 0 if it has not.
func (k *Keeper) LeftAtRelease() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.release == nil {
		return 0
	}
	return max(0, k.exclusive(*k.release)+withDrift(k.settle()))
}

// settle is how long a tenure lasts until it is settled.
func (k *Keeper) settle() time.Duration {
	return settleOrders * k.orderTimeout
}

// settleTime returns how long a tenure lasts until it is settled. After a release, others may acquire the lease although the term of the
// holder before has not ended.
func (k *Keeper) settleTime(s tenureStart) time.Duration {
	if s.afterRelease {
		return k.term + k.orderTimeout + k.settle()
	}
	return k.settle()
}

// withDrift returns the least time, by this process's clocks, in which another process's clocks advance by d.
func withDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - maxClockDrift) / (1 + maxClockDrift))
}

// exclusive returns how long from now no other process can acquire the lease after a write that was sent at a time: others wait for the term
// and the order timeout.
func (k *Keeper) exclusive(sent clockReading) time.Duration {
	return withDrift(k.term+k.orderTimeout) - readClocks(k.clock).elapsedSince(sent)
}

// isExclusive reports whether no other process can acquire the lease now. This process may have ceased to believe that it holds it.
func (k *Keeper) isExclusive() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.held && k.exclusive(k.renewed) > 0
}

// newTenure returns the tenure that a write starts which replaces the row at a revision, or nil if it continues the present one: nobody else
// can have acquired the lease, or it is the first row of an era.
func (k *Keeper) newTenure(a attempt, revision wire.Revision) *tenureStart {
	k.mu.Lock()
	succeeds := k.held && k.heldEra != k.era && revision == 0
	k.mu.Unlock()
	if succeeds || k.isExclusive() {
		return nil
	}
	released := k.foreign != nil && k.foreign.row.Incarnation == "" && k.clock.Monotonic()-k.foreign.firstRead <= k.wait(k.foreign.row)
	return &tenureStart{first: a.row.Epoch, sent: a.sent, afterRelease: released}
}

// noteUnclaimed notes that a read which was sent at a time found no row of the present era: nobody has acquired the lease in it.
func (k *Keeper) noteUnclaimed(sent clockReading) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.held && k.heldEra != k.era {
		k.unclaimed = sent
	}
}

// endTenure ends a tenure at the start of an era if another process may have had a settled one in the era before.
func (k *Keeper) endTenure() {
	if k.Tenure().Left <= 0 {
		k.markNotHeld()
	}
}

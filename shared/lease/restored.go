package lease

import (
	"errors"
	"strconv"

	"cowslipshunt.example/shared/era"
	"cowslipshunt.example/wire"
)

// ErrRestored is returned by a Step during which the table was restored from a backup. The next Step goes on in the new era.
var ErrRestored = errors.New("the table was restored from a backup")

// rowKey returns the key of a lease's row in an era of the table. Each era above 0 has a row of its own: a write that was made for an
// earlier era, and arrives in a later one, cannot replace the row of the later era even if the revision that it checks was assigned again.
func rowKey(name wire.LeaseName, e era.Era) string {
	if e == 0 {
		return string(name)
	}
	return string(name) + "@" + strconv.Itoa(int(e))
}

func (k *Keeper) key() string {
	return rowKey(k.name, k.era)
}

// ObserveEra notes a new era of the table and reports whether there is one. The wait for the holder of the earlier era counts from then,
// so processes that rarely call Step should call it often. It must be called by the goroutine that calls Step.
func (k *Keeper) ObserveEra() bool {
	e := k.tableEra()
	if e == k.era {
		return false
	}
	k.endTenure()
	k.era, k.eraSince = e, k.clock.Monotonic()
	k.current, k.foreign, k.attempt, k.recentHolders = nil, nil, nil, nil
	return true
}

// maySucceedEarlierEra reports whether this process may write the first row of an era: nobody else can hold the lease of the earlier era, or
// nobody at all can believe any more to hold it.
func (k *Keeper) maySucceedEarlierEra() bool {
	return k.era == 0 || k.isExclusive() || k.clock.Monotonic()-k.eraSince > k.term+k.orderTimeout
}
